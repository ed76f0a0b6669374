export type {
  AgedCrashReport,
  AgedServedRequest,
  CrashPage,
} from "./crash_page.ts";
export type { CrashReport } from "./crash_report.ts";
export {
  CrashLedger,
  MAXIMUM_REPORTS,
  REPORT_LIFETIME_MILLISECONDS,
  SUSPECT_LIFETIME_MILLISECONDS,
} from "./crash_ledger.ts";
export {
  findPoisonRequests,
  POISON_CRASH_THRESHOLD,
} from "./find_poison_requests.ts";
export type { PartAssessment } from "./assess_part.ts";
export type { ClearedPart, OngoingAnswer } from "./crash_page.ts";
export type { SoundAnswer } from "./crash_ledger.ts";
export type { CrashingParts } from "./find_crashing_parts.ts";
export {
  findCrashingParts,
  PART_GRACE_MILLISECONDS,
} from "./find_crashing_parts.ts";
export { answerAge } from "./answer_age.ts";
export { MINIMUM_SOUND_MILLISECONDS, weightOfCrash } from "./crash_weight.ts";
export { reportKey } from "./report_key.ts";

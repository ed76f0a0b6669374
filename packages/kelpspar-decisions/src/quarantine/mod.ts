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
} from "./crash_ledger.ts";
export {
  findPoisonRequests,
  POISON_CRASH_THRESHOLD,
} from "./find_poison_requests.ts";

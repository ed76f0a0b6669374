export type {
  ApplyTransactionAnswer,
  RevisionTableRow,
} from "./apply_answers.ts";
export type { ApplyBase } from "./apply_confirmation.ts";
export type {
  ApplyAction,
  ApplyAttempt,
  ApplyEvent,
  ApplyOutcome,
  ApplyStep,
  ApplyWrite,
  ConfigurationChange,
} from "./apply_state.ts";
export type {
  BootAnswer,
  BootAnswers,
  BootChoice,
  BootChoiceOptions,
} from "./boot_choice.ts";
export type {
  RevisionDecision,
  RevisionOffer,
  RevisionSource,
  ServingMode,
} from "./revision_offer.ts";
export type { FoundRevision, RevisionRow } from "./revision_row.ts";
export type {
  MissingRevision,
  RevisionTrackerOptions,
} from "./revision_tracker.ts";
export { toApplyEvent, toFoundRevision } from "./apply_answers.ts";
export {
  advanceApply,
  beginApply,
  findAcceptedChange,
} from "./apply_confirmation.ts";
export {
  chooseBootRevision,
  selectBootPeers,
  TABLE_AS_SOURCE,
} from "./boot_choice.ts";
export {
  CONFIGURATION_TABLE,
  CURRENT_REVISION_KEY,
  historyKey,
  parseRevisionRow,
} from "./revision_row.ts";
export { RevisionTracker } from "./revision_tracker.ts";

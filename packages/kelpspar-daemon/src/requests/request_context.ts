import type {
  AccountConfiguration,
  PipelineConfiguration,
} from "kelpspar-configuration";
import type { SubmitRequest } from "kelpspar-shared";
import type { AnswerLog } from "./answer_log.ts";
import type { StageTrace } from "./stage_trace.ts";

/** One request while this daemon runs it. */
export interface RequestContext {
  readonly requestId: string;
  readonly account: AccountConfiguration;
  readonly pipeline: PipelineConfiguration;
  readonly request: SubmitRequest;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Monotonic milliseconds. */
  readonly arrivedAt: number;
  /** Monotonic milliseconds. */
  readonly deadlineAt: number;
  /** SHA-256 of the body, to tell a reused idempotency key. */
  readonly bodyHash: string;
  /** The ids of the stages that must run at most once. */
  readonly onceStages: ReadonlySet<string>;
  readonly log: AnswerLog;
  /**
   * True once any caller that follows this run said that it had sent the key
   * before without an answer: another daemon may then run it too.
   */
  mayRunElsewhere: boolean;
  /** Aborted at the deadline, by the caller's cancel, or when abandoned. */
  readonly abort: AbortController;
  /** What takes back each stage's expected call, by the stage's id. */
  readonly expected: Map<string, () => void>;
  /** What each stage did so far, for operators and for the cost. */
  readonly traces: Map<string, StageTrace>;
}

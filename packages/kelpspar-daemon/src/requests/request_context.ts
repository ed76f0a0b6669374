import type {
  AccountConfiguration,
  PipelineConfiguration,
} from "kelpspar-configuration";
import type { SubmitRequest } from "kelpspar-shared";
import type { AnswerLog } from "./answer_log.ts";
import type { StageTrace } from "./stage_trace.ts";

/** State of one request that this daemon runs. */
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
  /** SHA-256 of the body, to detect a reused idempotency key. */
  readonly bodyHash: string;
  /** The ids of the stages that must run at most once. */
  readonly onceStages: ReadonlySet<string>;
  readonly log: AnswerLog;
  /**
   * True once a caller attached to this run reported an earlier submission of
   * the key without an answer: another daemon may run the request too.
   */
  mayRunElsewhere: boolean;
  /** Aborted at the deadline, on cancellation, or when abandoned. */
  readonly abort: AbortController;
  /** Deregisters each stage's expected call, by the stage's id. */
  readonly expectedCallTeardowns: Map<string, () => void>;
  /** The trace of each stage by its id, for operators and for the cost. */
  readonly traces: Map<string, StageTrace>;
}

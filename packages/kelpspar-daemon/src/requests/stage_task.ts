import type {
  ServiceConfiguration,
  StageConfiguration,
} from "kelpspar-configuration";
import type { OnceGuard } from "./once_guard.ts";
import type { RequestContext } from "./request_context.ts";
import type { StageTrace } from "./stage_trace.ts";

/** Inputs of one stage run. */
export interface StageTask {
  readonly context: RequestContext;
  readonly stage: StageConfiguration;
  readonly service: ServiceConfiguration;
  /** Index of the stage in its pipeline. */
  readonly stageIndex: number;
  readonly input: string;
  /** Hash of the shared input prefix; undefined without one. */
  readonly prefixHash: string | undefined;
  readonly trace: StageTrace;
  /** Called with each piece of the result, in order and without gaps. */
  readonly onText: (text: string) => void;
  /** Consulted before each call of a stage that must run at most once. */
  readonly guard: OnceGuard;
}

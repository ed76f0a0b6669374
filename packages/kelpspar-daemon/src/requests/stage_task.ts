import type {
  ServiceConfiguration,
  StageConfiguration,
} from "kelpspar-configuration";
import type { OnceGuard } from "./once_guard.ts";
import type { RequestContext } from "./request_context.ts";
import type { StageTrace } from "./stage_trace.ts";

/** One stage of one request, ready to run. */
export interface StageTask {
  readonly context: RequestContext;
  readonly stage: StageConfiguration;
  readonly service: ServiceConfiguration;
  /** Where the stage stands in its pipeline. */
  readonly stageIndex: number;
  readonly input: string;
  /** Names the shared part of the input; undefined when there is none. */
  readonly prefixHash: string | undefined;
  readonly trace: StageTrace;
  /** Told each piece of the result as it becomes whole. */
  readonly onText: (text: string) => void;
  /** Asked before each call of a stage that must run at most once. */
  readonly guard: OnceGuard;
}

import type {
  ServiceConfiguration,
  StageConfiguration,
} from "kelpspar-configuration";
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
  readonly trace: StageTrace;
  /** Told each piece of the result as it becomes whole. */
  readonly onText: (text: string) => void;
  /** Resolves when a stage that must run once may be dispatched. */
  readonly beforeDispatch: () => Promise<void>;
}

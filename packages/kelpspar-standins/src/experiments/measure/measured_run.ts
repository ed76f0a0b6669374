import type { CallResult } from "../caller/call_result.ts";
import type { LoadRun } from "../load/run_load.ts";
import type { ExecutionRecorder } from "./execution_recorder.ts";
import type { RunnerTimeRecorder } from "./runner_time_recorder.ts";

/** Data of a run from which the figures are computed. */
export interface MeasuredRun extends LoadRun {
  readonly executions: ExecutionRecorder;
  readonly runnerTime: RunnerTimeRecorder;
  /** Ports of daemons that were killed without warning. */
  readonly deadDaemonPorts: ReadonlySet<number>;
  /** Number of answered once-requests that a later lookup did not find. */
  readonly resultsGone: number;
  /** Duration of the measured load, in seconds. */
  readonly seconds: number;
  /** Results without those of the warm-up. */
  readonly measured: readonly CallResult[];
}

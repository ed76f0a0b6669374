import type { CallResult } from "../caller/call_result.ts";
import type { LoadRun } from "../load/run_load.ts";
import type { ExecutionBook } from "./execution_recorder.ts";
import type { RunnerTimeBook } from "./runner_time_recorder.ts";

/** What a run left behind for the figures. */
export interface MeasuredRun extends LoadRun {
  readonly executions: ExecutionBook;
  readonly runnerTime: RunnerTimeBook;
  /** Ports of daemons that died without warning. */
  readonly deadDaemonPorts: ReadonlySet<number>;
  /** Answered once-requests that a later look-up did not find. */
  readonly resultsGone: number;
  /** How long the measured load lasted, seconds. */
  readonly seconds: number;
  /** Results of the measured part, without the warm-up. */
  readonly measured: readonly CallResult[];
}

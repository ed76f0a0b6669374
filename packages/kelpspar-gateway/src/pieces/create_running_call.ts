import type { PieceTerms } from "../configuration/service_definition.ts";
import type { PieceTask } from "./piece_task.ts";
import type { RunningCall } from "./running_call.ts";
import { callTime } from "./service_capacity.ts";

/** Creates a call that starts now with `tasks`. */
export function createRunningCall(
  tasks: readonly PieceTask[],
  options: {
    readonly terms: PieceTerms;
    readonly reportedSlowdown: number;
    readonly now: number;
  },
): RunningCall {
  const resultBytes = tasks.reduce(
    (sum, task) => sum + task.chain.stage(task.stage).resultBytes,
    0,
  );
  return {
    tasks,
    startedAt: options.now,
    expectedCallTime: callTime(options.terms, tasks.length),
    reportedSlowdown: options.reportedSlowdown,
    resultBytes,
    abort: new AbortController(),
    isHedged: false,
  };
}

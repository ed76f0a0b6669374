import type { TimerService } from "kelpspar-shared";
import type { CallResult } from "../caller/call_result.ts";
import type { Caller } from "../caller/caller.ts";
import type { PlannedRequest } from "./planned_request.ts";
import { performance } from "node:perf_hooks";

/** Results of a load, and whether the load generator kept up with its plan. */
export interface LoadRun {
  readonly results: readonly CallResult[];
  /** Event loop utilization of the load generator, 0 to 1. */
  readonly utilization: number;
  /** Delay of each send after its planned time, in milliseconds, sorted. */
  readonly lags: readonly number[];
}

/** Runs an open loop: sends each request at its planned time, in any case. */
export async function runLoad(
  requests: readonly PlannedRequest[],
  options: {
    readonly caller: Caller;
    readonly timer: TimerService;
    /** Start time of the load, by the timer. */
    readonly startAt: number;
  },
): Promise<LoadRun> {
  const { caller, timer, startAt } = options;
  const before = performance.eventLoopUtilization();
  const calls: Promise<CallResult>[] = [];
  const lags: number[] = [];
  for (const request of requests) {
    const plannedAt = startAt + request.at;
    const wait = plannedAt - timer.now();
    if (wait > 0) {
      await new Promise<void>((resolve) => {
        timer.registerTimeout(resolve, wait);
      });
    }
    lags.push(timer.now() - plannedAt);
    calls.push(caller.call(request, plannedAt));
  }
  const { utilization } = performance.eventLoopUtilization(before);
  const results = await Promise.all(calls);
  return { results, utilization, lags: lags.sort((a, b) => a - b) };
}

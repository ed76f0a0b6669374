import type { TimerService } from "kelpspar-shared";
import type { CallResult } from "../caller/call_result.ts";
import type { Caller } from "../caller/caller.ts";
import type { PlannedRequest } from "./planned_request.ts";
import { performance } from "node:perf_hooks";

/** What was sent, and whether the loader itself kept up. */
export interface LoadRun {
  readonly results: readonly CallResult[];
  /** Share of the time the loader's event loop was busy, 0 to 1. */
  readonly utilization: number;
  /** How late requests were sent, milliseconds, sorted. */
  readonly lags: readonly number[];
}

/** An open loop: each request is sent at its time, whatever the others do. */
export async function runLoad(
  requests: readonly PlannedRequest[],
  options: {
    readonly caller: Caller;
    readonly timer: TimerService;
    /** When the load begins, by the timer. */
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

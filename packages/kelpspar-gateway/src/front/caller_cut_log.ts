import type { CallerCut } from "kelpspar-http";
import type { TimerService } from "kelpspar-shared";
import type { GatewayLog } from "../log/gateway_log.ts";
import type { GatewayMetrics } from "../metrics/gateway_metrics.ts";

/** At most one line of a kind in this time, milliseconds. */
const LOG_INTERVAL_MILLISECONDS = 1_000;

/** Dependencies of a `CallerCutLog`. */
export interface CallerCutLogOptions {
  readonly log: GatewayLog;
  readonly metrics: Pick<GatewayMetrics, "countCallerCut">;
  readonly timer: Pick<TimerService, "now">;
}

interface LoggedCuts {
  count: number;
  loggedAt: number;
}

/** Counts and logs what callers sent or didn't read and was given up. */
export class CallerCutLog {
  readonly #options: CallerCutLogOptions;
  readonly #logged = new Map<string, LoggedCuts>();

  constructor(options: CallerCutLogOptions) {
    this.#options = options;
  }

  record({ state, reason }: CallerCut): void {
    const { log, metrics, timer } = this.#options;
    metrics.countCallerCut(state, reason);
    const now = timer.now();
    const kind = `${state} ${reason}`;
    const logged = this.#logged.get(kind) ??
      { count: 0, loggedAt: Number.NEGATIVE_INFINITY };
    logged.count++;
    this.#logged.set(kind, logged);
    if (now - logged.loggedAt < LOG_INTERVAL_MILLISECONDS) return;
    log.warn("caller cut", { state, reason, count: logged.count });
    logged.count = 0;
    logged.loggedAt = now;
  }
}

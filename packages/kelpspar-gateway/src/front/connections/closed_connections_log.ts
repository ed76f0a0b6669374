import type { TimerService } from "kelpspar-shared";
import type { GatewayLog } from "../../log/gateway_log.ts";
import type { GatewayMetrics } from "../../metrics/gateway_metrics.ts";
import type { ListenerName } from "./listener_name.ts";

/** A listener's closed connections are logged at most this often, ms. */
const LOG_INTERVAL_MILLISECONDS = 10_000;

/** Why the daemon closed a caller's connection to protect others. */
export type ConnectionClosing =
  | "displaced"
  | "refused"
  /** Its pipelined requests were too many. */
  | "pipelined";

/** Dependencies of `ClosedConnectionsLog`. */
export interface ClosedConnectionsLogOptions {
  readonly timer: TimerService;
  readonly log: GatewayLog;
  readonly metrics: Pick<GatewayMetrics, "countClosedConnection">;
}

/** Counts the connections that are closed to protect others, and logs few. */
export class ClosedConnectionsLog {
  readonly #options: ClosedConnectionsLogOptions;
  readonly #nextLineAt = new Map<ListenerName, number>();
  readonly #counts = new Map<ListenerName, number>();

  constructor(options: ClosedConnectionsLogOptions) {
    this.#options = options;
  }

  note(listener: ListenerName, closing: ConnectionClosing): void {
    const { timer, log, metrics } = this.#options;
    metrics.countClosedConnection(listener, closing);
    const count = (this.#counts.get(listener) ?? 0) + 1;
    this.#counts.set(listener, count);
    const now = timer.now();
    if (now < (this.#nextLineAt.get(listener) ?? now)) return;
    this.#nextLineAt.set(listener, now + LOG_INTERVAL_MILLISECONDS);
    this.#counts.set(listener, 0);
    log.warn("connections closed", { listener, closing, count });
  }
}

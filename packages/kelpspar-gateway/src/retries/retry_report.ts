import type { TimerService } from "kelpspar-shared";
import type { GatewayLog } from "../log/gateway_log.ts";
import type { GatewayMetrics } from "../metrics/gateway_metrics.ts";
import type { RetryCause } from "./retry_cause.ts";
import type { FirstSends } from "./first_sends.ts";

/** How often the retries of each service are logged, milliseconds. */
const REPORT_INTERVAL_MILLISECONDS = 1_000;

/** What became of retries. */
export type RetryDecisionOutcome =
  | "allowed"
  | "refused"
  /** Nothing was sent. */
  | "returned";

/** A decision whether something is sent again. */
export interface RetryDecision {
  readonly service: string;
  readonly cause: RetryCause;
  /** Number of requests or pieces. */
  readonly count: number;
  readonly outcome: RetryDecisionOutcome;
}

/** State of a service's budget, for the log. */
export type BudgetState = Readonly<Record<string, number | undefined>>;

/** Dependencies of a `RetryReport`. */
export interface RetryReportOptions {
  readonly metrics: Pick<GatewayMetrics, "countRetries" | "countFirstSends">;
  readonly log: GatewayLog;
  readonly timer: TimerService;
  /** State of a service's budget now. */
  readonly describe: (service: string) => BudgetState;
}

/** Counts retries for the metrics, and logs a summary while there are any. */
export class RetryReport {
  readonly #options: RetryReportOptions;
  /** Counts since the last line, by service, then by outcome and cause. */
  readonly #counts = new Map<string, Map<string, number>>();

  constructor(options: RetryReportOptions) {
    this.#options = options;
  }

  /** Counts first sends, which bound the retries. */
  recordFirstSends(service: string, { requests, pieces }: FirstSends): void {
    const { metrics } = this.#options;
    metrics.countFirstSends({ service, kind: "request", count: requests });
    metrics.countFirstSends({ service, kind: "piece", count: pieces });
  }

  record({ service, cause, count, outcome }: RetryDecision): void {
    const { metrics, timer } = this.#options;
    metrics.countRetries({ service, cause, outcome, count });
    if (this.#counts.size === 0) {
      timer.registerTimeout(() => this.#log(), REPORT_INTERVAL_MILLISECONDS);
    }
    const counts = this.#counts.get(service) ?? new Map<string, number>();
    this.#counts.set(service, counts);
    const name = `${outcome} ${cause}`;
    counts.set(name, (counts.get(name) ?? 0) + count);
  }

  #log(): void {
    const { log, describe } = this.#options;
    for (const [service, counts] of this.#counts) {
      log.info("retries", {
        service,
        ...Object.fromEntries(counts),
        ...describe(service),
      });
    }
    this.#counts.clear();
  }
}

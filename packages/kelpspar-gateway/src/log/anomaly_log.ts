import type { GatewayMetrics } from "../metrics/gateway_metrics.ts";
import type { GatewayLog, LogFields } from "./gateway_log.ts";

/** Unexpected events that are harmless but worth investigating. */
export type Anomaly =
  /** The store reported its era before and no longer does. */
  | "era_missing"
  | "era_invalid"
  /** The store reports an earlier era than before. */
  | "era_fell"
  /** An answer of the store from before its restore from a copy. */
  | "era_late_answer"
  /** A daemon reports an era that the store doesn't know. */
  | "era_denied"
  /** A daemon relays rows of an earlier era. */
  | "changes_of_earlier_era"
  /** A daemon relays changes after a version that isn't known here. */
  | "changes_skip_versions"
  | "page_not_understood"
  /** A row of the store that none of its writers should have written. */
  | "row_unreadable"
  /** An endpoint requests a pause with an invalid duration. */
  | "pause_unreadable"
  /** An endpoint reports an invalid limit. */
  | "limit_unreadable"
  | "brittle_unreadable"
  /** An endpoint reports an invalid cold time. */
  | "cold_unreadable"
  /** An endpoint reports an invalid load. */
  | "load_unreadable"
  /** A service's limit for cold endpoints is invalid and not applied. */
  | "cold_limit_unreadable"
  /** An evacuated availability zone is missing from the settings. */
  | "evacuation_of_unknown_zone"
  /** The row of an evacuation is malformed; the evacuation still applies. */
  | "evacuation_unreadable";

/** Counts anomalies; logs only the first of each kind to avoid floods. */
export class AnomalyLog {
  readonly #log: GatewayLog;
  readonly #metrics: Pick<GatewayMetrics, "countAnomaly">;
  readonly #logged = new Set<Anomaly>();

  constructor(
    log: GatewayLog,
    metrics: Pick<GatewayMetrics, "countAnomaly">,
  ) {
    this.#log = log;
    this.#metrics = metrics;
  }

  note(anomaly: Anomaly, fields: LogFields = {}): void {
    this.#metrics.countAnomaly(anomaly);
    if (this.#logged.has(anomaly)) return;
    this.#logged.add(anomaly);
    this.#log.warn("anomaly", { anomaly, ...fields });
  }
}

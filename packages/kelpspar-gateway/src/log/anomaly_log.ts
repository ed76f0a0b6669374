import type { GatewayMetrics } from "../metrics/gateway_metrics.ts";
import type { GatewayLog, LogFields } from "./gateway_log.ts";

/** What should not happen, harms nothing, and is worth knowing of. */
export type Anomaly =
  /** The store told its era before and doesn't any more. */
  | "era_missing"
  | "era_invalid"
  /** The store's own word is of an earlier era than it told before. */
  | "era_fell"
  /** An answer of the store from before its return from a copy. */
  | "era_late_answer"
  /** A daemon tells of an era that the store doesn't know. */
  | "era_denied"
  /** A daemon passes on rows of an earlier era. */
  | "changes_of_earlier_era"
  /** A daemon passes on changes after a version that isn't known here. */
  | "changes_skip_versions"
  | "page_not_understood"
  /** An endpoint wants a pause whose length can't be read. */
  | "pause_unreadable"
  /** An endpoint names a limit that can't be read. */
  | "limit_unreadable"
  /** How long an endpoint is cold can't be read. */
  | "cold_unreadable"
  /** A service's limit for cold endpoints isn't one; it has none then. */
  | "cold_limit_unreadable"
  /** An availability zone is evacuated that the settings don't name. */
  | "evacuation_of_unknown_zone"
  /** The row of an evacuation isn't what the operator writes; it holds. */
  | "evacuation_unreadable";

/** Counts anomalies and logs the first of each kind, so that none floods. */
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

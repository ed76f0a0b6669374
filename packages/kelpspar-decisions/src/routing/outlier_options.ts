/** Criteria and durations of ejection and recovery. */
export interface OutlierOptions {
  /** Maximum share of a pool that is ejected at the same time. */
  readonly ejectedShare: number;
  /** Consecutive failures that eject an endpoint. */
  readonly consecutiveFailures: number;
  /** Consecutive failures that eject an endpoint during slow start. */
  readonly consecutiveFailuresRamping: number;
  /** Share of failures among recent outcomes that ejects an endpoint. */
  readonly failureShare: number;
  /** Minimum outcomes for evaluating the share of failures. */
  readonly minimumOutcomes: number;
  /** Share of failing members from which the whole pool is failing. */
  readonly wholePoolShare: number;
  /** Ratio of median latency to the pool's median that ejects an endpoint. */
  readonly latencyFactor: number;
  /** Minimum excess over the pool's median for ejection, milliseconds. */
  readonly latencyExcessMilliseconds: number;
  /** Minimum latencies for evaluating an endpoint's median. */
  readonly minimumLatencies: number;
  /** Minimum endpoints with a median for comparing them. */
  readonly minimumPeers: number;
  /** Duration of the first ejection, milliseconds; doubles each time. */
  readonly ejectionMilliseconds: number;
  /** Maximum duration of an ejection, milliseconds. */
  readonly maximumEjectionMilliseconds: number;
  /** Healthy time after which the doubling is reset, milliseconds. */
  readonly ejectionResetMilliseconds: number;
  /** Consecutive answered probes that end an ejection. */
  readonly probesToRecover: number;
  /** Duration of slow start, milliseconds. */
  readonly rampMilliseconds: number;
  /** Weight at the start of slow start, above 0 and up to 1. */
  readonly rampStartWeight: number;
}

/** Default `OutlierOptions`. */
export const DEFAULT_OUTLIER_OPTIONS: OutlierOptions = {
  ejectedShare: 0.5,
  consecutiveFailures: 5,
  consecutiveFailuresRamping: 2,
  failureShare: 0.5,
  minimumOutcomes: 10,
  wholePoolShare: 0.8,
  latencyFactor: 3,
  latencyExcessMilliseconds: 20,
  minimumLatencies: 8,
  minimumPeers: 3,
  ejectionMilliseconds: 5_000,
  maximumEjectionMilliseconds: 120_000,
  ejectionResetMilliseconds: 60_000,
  probesToRecover: 2,
  rampMilliseconds: 10_000,
  rampStartWeight: 0.1,
};

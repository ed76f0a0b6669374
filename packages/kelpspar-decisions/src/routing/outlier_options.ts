/** When an endpoint is ejected, for how long, and how it returns. */
export interface OutlierOptions {
  /** Share of a pool that may be ejected at a time. */
  readonly ejectedShare: number;
  /** Failures in a row that eject. */
  readonly failuresInRow: number;
  /** Failures in a row that eject again during slow start. */
  readonly failuresInRowRamping: number;
  /** Share of recent outcomes that failed, which ejects. */
  readonly failureShare: number;
  /** Outcomes needed before the share is judged. */
  readonly minimumOutcomes: number;
  /** Share of failing members from which the pool fails as a whole. */
  readonly wholePoolShare: number;
  /** Median latency over the pool's median that ejects. */
  readonly latencyFactor: number;
  /** The least excess over the pool's median that ejects, milliseconds. */
  readonly latencyExcessMilliseconds: number;
  /** Latencies needed before an endpoint's median is judged. */
  readonly minimumLatencies: number;
  /** Endpoints with a median that are needed to judge any of them. */
  readonly minimumPeers: number;
  /** The first ejection's time, milliseconds; doubled by each that follows. */
  readonly ejectionMilliseconds: number;
  /** The longest ejection, milliseconds. */
  readonly maximumEjectionMilliseconds: number;
  /** Healthy time after which doubling starts anew, milliseconds. */
  readonly forgiveMilliseconds: number;
  /** Probes in a row that must be answered before a return. */
  readonly probesToReturn: number;
  /** Length of slow start, milliseconds. */
  readonly rampMilliseconds: number;
  /** Weight at the beginning of slow start, above 0 to 1. */
  readonly rampStartWeight: number;
}

/** The defaults of `OutlierOptions`. */
export const DEFAULT_OUTLIER_OPTIONS: OutlierOptions = {
  ejectedShare: 0.5,
  failuresInRow: 5,
  failuresInRowRamping: 2,
  failureShare: 0.5,
  minimumOutcomes: 10,
  wholePoolShare: 0.8,
  latencyFactor: 3,
  latencyExcessMilliseconds: 20,
  minimumLatencies: 8,
  minimumPeers: 3,
  ejectionMilliseconds: 5_000,
  maximumEjectionMilliseconds: 120_000,
  forgiveMilliseconds: 60_000,
  probesToReturn: 2,
  rampMilliseconds: 10_000,
  rampStartWeight: 0.1,
};

/** Places of the figures that a `ProcessWatch` shares with its thread. */
export const WATCHED_COUNTERS = {
  /** 0 before the process is started. */
  processId: 0,
  peakKilobytes: 1,
  peakDescriptors: 2,
} as const;

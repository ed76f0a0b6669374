const FRAME_OVERHEAD_BYTES = 400;
const EMPTY_DIGEST_BYTES = 370;
const BYTES_PER_LOAD = 36;
const BYTES_PER_CHANGED_REPORT = 290;
const BYTES_PER_SUSPECT = 12;
const BYTES_PER_ACCOUNT = 21;
const MINIMUM_INTERVAL_MILLISECONDS = 1_000;

/** Number of entries in a digest. */
export interface DigestCounts {
  /** Endpoints with loads in the digest. */
  readonly loads: number;
  readonly changedReports: number;
  readonly suspects: number;
  /** Client accounts with usage in the digest. */
  readonly accounts: number;
}

/** Estimated size of a digest as JSON, bytes. */
export function estimateDigestBytes(counts: DigestCounts): number {
  return EMPTY_DIGEST_BYTES + counts.loads * BYTES_PER_LOAD +
    counts.changedReports * BYTES_PER_CHANGED_REPORT +
    counts.suspects * BYTES_PER_SUSPECT +
    counts.accounts * BYTES_PER_ACCOUNT;
}

/**
 * Interval between digests that keeps them within a bandwidth budget,
 * milliseconds; at least one second. Counts sent bytes including the overhead
 * of the underlying protocols; about as many are received.
 */
export function digestInterval(
  counts: DigestCounts,
  options: { readonly targets: number; readonly bytesPerSecond: number },
): number {
  const bytes = options.targets *
    (estimateDigestBytes(counts) + FRAME_OVERHEAD_BYTES);
  return Math.max(
    MINIMUM_INTERVAL_MILLISECONDS,
    Math.ceil(1_000 * bytes / options.bytesPerSecond),
  );
}

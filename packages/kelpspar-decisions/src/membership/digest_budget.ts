const FRAME_BYTES = 400;
const EMPTY_DIGEST_BYTES = 370;
const BYTES_PER_LOAD = 36;
const BYTES_PER_CHANGED_REPORT = 290;
const BYTES_PER_SUSPECT = 12;
const BYTES_PER_ACCOUNT = 21;
const SHORTEST_INTERVAL_MILLISECONDS = 1_000;

/** How much a digest carries. */
export interface DigestCounts {
  /** Endpoints whose loads it carries. */
  readonly loads: number;
  readonly changedReports: number;
  readonly suspects: number;
  /** Client accounts whose usage it carries. */
  readonly accounts: number;
}

/** Bytes of a digest as JSON, estimated. */
export function estimateDigestBytes(counts: DigestCounts): number {
  return EMPTY_DIGEST_BYTES + counts.loads * BYTES_PER_LOAD +
    counts.changedReports * BYTES_PER_CHANGED_REPORT +
    counts.suspects * BYTES_PER_SUSPECT +
    counts.accounts * BYTES_PER_ACCOUNT;
}

/**
 * How often digests may be sent so that they stay within a budget: at least
 * one second apart, milliseconds. Sent bytes are counted, with what the
 * protocol below adds to each; about as many are received.
 */
export function digestInterval(
  counts: DigestCounts,
  options: { readonly targets: number; readonly bytesPerSecond: number },
): number {
  const bytes = options.targets * (estimateDigestBytes(counts) + FRAME_BYTES);
  return Math.max(
    SHORTEST_INTERVAL_MILLISECONDS,
    Math.ceil(1_000 * bytes / options.bytesPerSecond),
  );
}

const MEBIBYTE = 1024 * 1024;
/**
 * A process at rest, what its heap grows by, and buffers that aren't collected
 * yet, of which there may be half as much as the heap's limit.
 */
const OWN_BYTES = 160 * MEBIBYTE;
/** Of what is left beside that; the rest is a reserve. */
const CALLER_SHARE = 0.35;
const ANSWER_SHARE = 0.34;
const MAXIMUM_ANSWER_BYTES = 64 * MEBIBYTE;
/** An unread answer of the largest size has to fit beside small bodies. */
const MINIMUM_CALLER_BYTES = 20 * MEBIBYTE;
/** One answer of the largest size. */
const MINIMUM_ANSWER_BYTES = 16 * MEBIBYTE;

/** How the memory of a machine is shared. */
export interface MemoryShares {
  /** For what callers and other daemons make the process hold. */
  readonly callerBytes: number;
  /** For unfinished answers and events of endpoints. */
  readonly answerBytes: number;
}

/** Shares the memory that a process may use. */
export function shareMemory(memoryBytes: number): MemoryShares {
  const free = Math.max(0, memoryBytes - OWN_BYTES);
  return {
    callerBytes: Math.max(MINIMUM_CALLER_BYTES, free * CALLER_SHARE),
    answerBytes: Math.max(
      MINIMUM_ANSWER_BYTES,
      Math.min(free * ANSWER_SHARE, MAXIMUM_ANSWER_BYTES),
    ),
  };
}

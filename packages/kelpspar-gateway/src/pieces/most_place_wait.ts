/** A chain whose stages are done, milliseconds. */
export interface PlaceWaitOptions {
  readonly hasPieces: boolean;
  /** Until its request is late if it is sent then; below 0 when it is. */
  readonly slack: number;
  /** Until its request can't be answered any more if it is sent then. */
  readonly remaining: number;
}

/**
 * A request without pieces asks only where it is read. Its daemon chooses by
 * itself soon after, so that a later answer comes in vain.
 */
const LONGEST_WITHOUT_PIECES_MILLISECONDS = 40;
/** Of the time that a late request has left, the part that it may wait. */
const LATE_SHARE = 0.5;

/**
 * How long a request may wait for an endpoint that takes it. Load: all model
 * endpoints name limits. Work on its pieces is done, so that a wait within its
 * objective costs less than a refusal; beyond that it only delays the refusal.
 */
export function mostPlaceWait(options: PlaceWaitOptions): number {
  const { hasPieces, slack, remaining } = options;
  if (!hasPieces) return LONGEST_WITHOUT_PIECES_MILLISECONDS;
  return slack > 0 ? slack : Math.max(0, remaining * LATE_SHARE);
}

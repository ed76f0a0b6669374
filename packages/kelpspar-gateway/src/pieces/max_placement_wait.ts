/** A chain whose stages are done, milliseconds. */
export interface PlacementWaitOptions {
  readonly hasPieces: boolean;
  /** Latest wait with which the request is on time; negative if already late. */
  readonly slack: number;
  /** Latest wait with which the request meets its deadline. */
  readonly remaining: number;
}

/**
 * A request without pieces only asks for a placement. Its daemon chooses an
 * endpoint itself soon after and ignores a later answer.
 */
const MAX_WAIT_WITHOUT_PIECES_MILLISECONDS = 40;
/** Share of its remaining time that a late request may wait. */
const LATE_SHARE = 0.5;

/**
 * How long a request may wait for an endpoint while all model endpoints are at
 * their limits. The work on its pieces is done, so that a wait within its
 * objective costs less than a refusal; beyond that it only delays the refusal.
 */
export function maxPlacementWait(options: PlacementWaitOptions): number {
  const { hasPieces, slack, remaining } = options;
  if (!hasPieces) return MAX_WAIT_WITHOUT_PIECES_MILLISECONDS;
  return slack > 0 ? slack : Math.max(0, remaining * LATE_SHARE);
}

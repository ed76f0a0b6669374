/** An endpoint considered for one piece. */
export interface PieceCandidate<Target> {
  readonly target: Target;
  readonly isFree: boolean;
  /** Time until it is free, milliseconds; 0 if it is. */
  readonly wait: number;
  /** Ratio of observed to expected time. */
  readonly slowness: number;
  /** Bytes that would cross zones if the piece were made there. */
  readonly crossing: number;
}

/** Inputs of `placePiece`. */
export interface PlacePieceOptions<Target> {
  readonly candidates: readonly PieceCandidate<Target>[];
  /** Time of a call with the queued pieces on a healthy endpoint, ms. */
  readonly callTime: number;
  /** Time that the piece can wait and still be on time; negative if late. */
  readonly slack: number;
  /** Time of the queued work on one healthy endpoint, milliseconds. */
  readonly queueTime: number;
}

/** Cross-zone bytes up to which waiting for a nearby endpoint isn't worth it. */
export const FREE_CROSSING_BYTES = 200_000;
/** Longest wait for a nearby endpoint: about one call. */
const MAX_WAIT_MILLISECONDS = 250;
/** Slowness from which an endpoint is used only if it finishes sooner. */
const SLOWNESS_THRESHOLD = 1.5;

/**
 * Chooses the endpoint for a piece; undefined to let it wait. Avoids two
 * problems: results of megabytes that cross zones although a nearby endpoint is
 * free a moment later, and slow endpoints, where a piece that starts at once
 * ends later than one that waits for another endpoint.
 */
export function placePiece<Target>(
  options: PlacePieceOptions<Target>,
): Target | undefined {
  const least = Math.min(...options.candidates.map(({ crossing }) => crossing));
  const isNear = (place: PieceCandidate<Target>): boolean =>
    place.crossing <= least + FREE_CROSSING_BYTES;
  const free = options.candidates.filter((place) => place.isFree);
  const near = free.filter(isNear).sort(bySlowness);
  const best = near[0] ?? free.sort(byCrossing)[0];
  if (best === undefined) return undefined;
  const mayWait = !isNear(best) &&
    options.candidates.some((place) =>
      isNear(place) && isFreeInTime(place, options)
    );
  if (mayWait) return undefined;
  return finishesSooner(best, options) ? best.target : undefined;
}

function bySlowness(
  left: PieceCandidate<unknown>,
  right: PieceCandidate<unknown>,
): number {
  return left.slowness - right.slowness;
}

function byCrossing(
  left: PieceCandidate<unknown>,
  right: PieceCandidate<unknown>,
): number {
  return left.crossing - right.crossing || left.slowness - right.slowness;
}

/**
 * Whether a piece may wait for a busy nearby endpoint. Not with a long queue:
 * then free endpoints stay idle beside it, and the inputs of waiting pieces
 * occupy the room of the previous stage.
 */
function isFreeInTime(
  place: PieceCandidate<unknown>,
  options: PlacePieceOptions<unknown>,
): boolean {
  const queueWait = options.queueTime / options.candidates.length;
  return place.slowness < SLOWNESS_THRESHOLD &&
    place.wait + queueWait < Math.min(options.slack, MAX_WAIT_MILLISECONDS);
}

function finishesSooner(
  place: PieceCandidate<unknown>,
  options: PlacePieceOptions<unknown>,
): boolean {
  if (place.slowness < SLOWNESS_THRESHOLD) return true;
  const others = options.candidates.filter((other) =>
    other.target !== place.target && other.slowness < SLOWNESS_THRESHOLD
  );
  if (others.length === 0) return true;
  const elsewhere = Math.min(...others.map((other) => other.wait)) +
    options.queueTime / others.length + options.callTime;
  return options.callTime * place.slowness < elsewhere;
}

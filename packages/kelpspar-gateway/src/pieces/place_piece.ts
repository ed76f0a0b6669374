/** An endpoint as a place for one piece. */
export interface PiecePlace<Lane> {
  readonly lane: Lane;
  readonly isFree: boolean;
  /** Time until it is free, milliseconds; 0 when it is. */
  readonly wait: number;
  /** Observed time against the expected one. */
  readonly slowness: number;
  /** Bytes that would cross zones if the piece were made there. */
  readonly crossing: number;
}

/** What placing is decided from. */
export interface PlacePieceOptions<Lane> {
  readonly places: readonly PiecePlace<Lane>[];
  /** Time of a call that carries what waits, on a sound endpoint, ms. */
  readonly callTime: number;
  /** Time that the piece may still wait and be on time; below 0 when late. */
  readonly slack: number;
  /** Time that waits before it per sound endpoint, milliseconds. */
  readonly queueTime: number;
}

/** Up to this a crossing isn't worth any wait, bytes. */
export const FREE_CROSSING_BYTES = 200_000;
/** Longest wait for an endpoint nearby, milliseconds: about a call. */
const MOST_WAIT_MILLISECONDS = 250;
/** Slowness from which an endpoint gets work only when that is sooner. */
const SLOW_ENDPOINT = 1.5;

/**
 * Where to make a piece now; undefined to let it wait. Answers two loads:
 * results of megabytes that would cross zones although an endpoint nearby is
 * free a moment later, and endpoints turned slow, where a piece that starts at
 * once ends later than one that waits for another.
 */
export function placePiece<Lane>(
  options: PlacePieceOptions<Lane>,
): Lane | undefined {
  const least = Math.min(...options.places.map(({ crossing }) => crossing));
  const isNear = (place: PiecePlace<Lane>): boolean =>
    place.crossing <= least + FREE_CROSSING_BYTES;
  const free = options.places.filter((place) => place.isFree);
  const near = free.filter(isNear).sort(bySlowness);
  const best = near[0] ?? free.sort(byCrossing)[0];
  if (best === undefined) return undefined;
  const mayWait = !isNear(best) &&
    options.places.some((place) => isNear(place) && isInTime(place, options));
  if (mayWait) return undefined;
  return isSooner(best, options) ? best.lane : undefined;
}

function bySlowness(
  left: PiecePlace<unknown>,
  right: PiecePlace<unknown>,
): number {
  return left.slowness - right.slowness;
}

function byCrossing(
  left: PiecePlace<unknown>,
  right: PiecePlace<unknown>,
): number {
  return left.crossing - right.crossing || left.slowness - right.slowness;
}

/**
 * Whether a piece may wait for a busy endpoint nearby. Not when much waits:
 * then free endpoints stand idle beside a queue, and the results that waiting
 * pieces read hold the room of the stage before.
 */
function isInTime(
  place: PiecePlace<unknown>,
  options: PlacePieceOptions<unknown>,
): boolean {
  const queue = options.queueTime / options.places.length;
  return place.slowness < SLOW_ENDPOINT &&
    place.wait + queue < Math.min(options.slack, MOST_WAIT_MILLISECONDS);
}

function isSooner(
  place: PiecePlace<unknown>,
  options: PlacePieceOptions<unknown>,
): boolean {
  if (place.slowness < SLOW_ENDPOINT) return true;
  const others = options.places.filter((one) =>
    one.lane !== place.lane && one.slowness < SLOW_ENDPOINT
  );
  if (others.length === 0) return true;
  const elsewhere = Math.min(...others.map((one) => one.wait)) +
    options.queueTime / others.length + options.callTime;
  return options.callTime * place.slowness < elsewhere;
}

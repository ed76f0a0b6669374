/** What a stream contains, as its caller reads it. */
export interface ReadEvents {
  /** Whether an event is missing between two others. */
  readonly hasGap: boolean;
  /** Whether an event came twice, or after a later one. */
  readonly hasRepeat: boolean;
  /** Whether an event is of two runs, of another stream, or unreadable. */
  readonly isJoined: boolean;
  readonly count: number;
  /** Id of the endpoint that wrote the last event. */
  readonly lastRunnerId: string | undefined;
  /** What follows the last whole event. */
  readonly rest: string;
}

/** An event that is signed by its endpoint at both ends. */
const EVENT = /id: (\d+)\ndata: (\S+) (\d+) (\S+) (\S+)\n\n/y;

/** Reads the signed events of a stream. */
export function readEvents(text: string, attemptId: string): ReadEvents {
  const pattern = new RegExp(EVENT);
  let hasGap = false;
  let hasRepeat = false;
  let isJoined = false;
  let count = 0;
  let last = 0;
  let lastRunnerId: string | undefined;
  let position = 0;
  for (;;) {
    const match = pattern.exec(text);
    if (match === null) break;
    const [, id, ofAttempt, number, first, second] = match;
    if (Number(id) > last + 1) hasGap = true;
    if (Number(id) <= last) hasRepeat = true;
    if (ofAttempt !== attemptId || number !== id || first !== second) {
      isJoined = true;
    }
    last = Number(id);
    lastRunnerId = second;
    count++;
    position = pattern.lastIndex;
  }
  const rest = text.slice(position);
  // Only the last event of a cut stream may be a part of one.
  if (rest.includes("\n\n")) isJoined = true;
  return { hasGap, hasRepeat, isJoined, count, lastRunnerId, rest };
}

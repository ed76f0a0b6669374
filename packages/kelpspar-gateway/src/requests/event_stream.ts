// Line ends and blank lines of `text/event-stream` (WHATWG HTML, section 9.2.6).
const LINE_FEED_BLANK_LINE = "\n\n";
const CARRIAGE_RETURN = 0x0d;
const LINE_FEED = 0x0a;
/**
 * A blank line and the line end before it. A CR at the end of the bytes that
 * follows a CR LF is probably half of a second one, so it doesn't match yet.
 */
const BLANK_LINE =
  /\r\n(?:\r\n|\n|\r(?=[^\n]))|(?:(?<!\r)\n|\r(?!\n))(?:\r\n|\r|\n)/g;
const ID_FIELD = /(?:^|[\r\n])id:[ ]?([^\r\n]*)/g;
/** Length of the longest match of `BLANK_LINE`. */
const BLANK_LINE_BYTES = 4;
/** Any line ends that are this many bytes together contain a blank line. */
const BLANK_LINE_RUN_BYTES = 4;
/**
 * Bytes before new ones that decide with them where an event ends: a blank line
 * that ends with them or after them, and the byte that precedes it.
 */
export const EVENT_CONTEXT_BYTES = BLANK_LINE_BYTES + 1;

/** Where the end of an event is searched for. */
export interface EventSearch {
  /** Offset at which a blank line may begin; default 0. */
  readonly start?: number;
  /** True if a CR came before these bytes since the last whole event. */
  readonly hasCarriageReturn?: boolean;
}

/** True if the bytes have a CR. */
export function includesCarriageReturn(bytes: Buffer): boolean {
  return bytes.includes(CARRIAGE_RETURN);
}

/** Offset of the end of the last whole event; 0 if there is none. */
export function endOfLastEvent(
  bytes: Buffer,
  { start = 0, hasCarriageReturn = false }: EventSearch = {},
): number {
  if (!hasCarriageReturn && !includesCarriageReturn(bytes)) {
    const index = bytes.lastIndexOf(LINE_FEED_BLANK_LINE);
    return index < start ? 0 : index + LINE_FEED_BLANK_LINE.length;
  }
  const text = bytes.toString("latin1");
  let end = 0;
  // Without arrays of matches, of which there may be one for each two bytes.
  BLANK_LINE.lastIndex = start;
  while (BLANK_LINE.test(text)) end = BLANK_LINE.lastIndex;
  return end;
}

/** True if the bytes end with a whole event, or have none but line ends. */
export function endsWithWholeEvent(bytes: Buffer): boolean {
  let length = 0;
  while (length < bytes.length && isLineEnd(bytes.at(-1 - length))) length++;
  if (length === bytes.length || length >= BLANK_LINE_RUN_BYTES) return true;
  return endOfLastEvent(bytes.subarray(bytes.length - length)) > 0;
}

/** The last id in whole events; undefined if they have none. */
export function lastIdOf(events: Buffer): string | undefined {
  const text = events.toString("latin1");
  let id: string | undefined;
  ID_FIELD.lastIndex = 0;
  for (
    let match = ID_FIELD.exec(text);
    match !== null;
    match = ID_FIELD.exec(text)
  ) {
    id = match[1];
  }
  return id?.trim();
}

/** True if bytes that follow a whole event begin another one. */
export function isPartialEvent(rest: Buffer): boolean {
  return rest.some((byte) => !isLineEnd(byte));
}

function isLineEnd(byte: number | undefined): boolean {
  return byte === CARRIAGE_RETURN || byte === LINE_FEED;
}

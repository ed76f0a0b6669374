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

/** Offset of the end of the last whole event; 0 if there is none. */
export function endOfLastEvent(bytes: Buffer): number {
  if (!bytes.includes(CARRIAGE_RETURN)) {
    const start = bytes.lastIndexOf(LINE_FEED_BLANK_LINE);
    return start < 0 ? 0 : start + LINE_FEED_BLANK_LINE.length;
  }
  const last = [...bytes.toString("latin1").matchAll(BLANK_LINE)].at(-1);
  return last === undefined ? 0 : last.index + last[0].length;
}

/** The last id in whole events; undefined if they have none. */
export function lastIdOf(events: Buffer): string | undefined {
  const ids = [...events.toString("latin1").matchAll(ID_FIELD)];
  return ids.at(-1)?.[1]?.trim();
}

/** True if bytes that follow a whole event begin another one. */
export function isPartialEvent(rest: Buffer): boolean {
  return rest.some((byte) => byte !== CARRIAGE_RETURN && byte !== LINE_FEED);
}

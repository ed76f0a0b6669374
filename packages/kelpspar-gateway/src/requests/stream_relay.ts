/** Blank line that ends an event. */
const EVENT_END = "\n\n";
const ID_FIELD = /(?:^|\n)id:[ ]?([^\n]*)/g;

/**
 * Lets whole events of a stream through and remembers the last one's id. An
 * endpoint may stop in the middle of an event; what goes on elsewhere begins
 * with a whole one, and the two halves would be joined into one that nobody
 * sent.
 */
export class StreamRelay {
  #rest: Buffer = Buffer.alloc(0);
  #lastEventId: string | undefined;

  constructor(lastEventId: string | undefined) {
    this.#lastEventId = lastEventId;
  }

  /** Id of the last event that was let through, or that the caller had. */
  get lastEventId(): string | undefined {
    return this.#lastEventId;
  }

  /** Takes bytes in; gives the whole events among them. */
  take(chunk: Uint8Array): Buffer {
    const bytes = this.#rest.length === 0
      ? Buffer.from(chunk)
      : Buffer.concat([this.#rest, chunk]);
    const end = bytes.lastIndexOf(EVENT_END);
    if (end < 0) {
      this.#rest = bytes;
      return Buffer.alloc(0);
    }
    const whole = bytes.subarray(0, end + EVENT_END.length);
    this.#rest = bytes.subarray(end + EVENT_END.length);
    const ids = [...whole.toString("latin1").matchAll(ID_FIELD)];
    this.#lastEventId = ids.at(-1)?.[1]?.trim() ?? this.#lastEventId;
    return whole;
  }

  /** What came after the last whole event; given at a proper end. */
  takeRest(): Buffer {
    const rest = this.#rest;
    this.#rest = Buffer.alloc(0);
    return rest;
  }

  /** Drops a half event before the stream goes on elsewhere. */
  dropRest(): void {
    this.#rest = Buffer.alloc(0);
  }
}

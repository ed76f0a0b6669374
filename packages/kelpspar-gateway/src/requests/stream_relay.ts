import { endOfLastEvent, isPartialEvent, lastIdOf } from "./event_stream.ts";

/**
 * Splits a stream into whole events and tracks the id of the last one. An
 * endpoint may fail in the middle of an event, while the endpoint that resumes
 * the stream begins with a whole event. Forwarding the partial event would join
 * the two into an event that no endpoint sent.
 */
export class StreamRelay {
  #partialEvent: Buffer = Buffer.alloc(0);
  #lastEventId: string | undefined;
  #hasReceivedBytes = false;

  constructor(lastEventId: string | undefined) {
    this.#lastEventId = lastEventId;
  }

  /** Id of the last whole event, or initially of the last one received. */
  get lastEventId(): string | undefined {
    return this.#lastEventId;
  }

  /** True after bytes of an event whose end hasn't been received. */
  get isInsideEvent(): boolean {
    return isPartialEvent(this.#partialEvent);
  }

  /** True once any bytes were received, from whichever endpoint. */
  get hasReceivedBytes(): boolean {
    return this.#hasReceivedBytes;
  }

  /** Adds bytes and returns the events that are now complete. */
  push(chunk: Uint8Array): Buffer {
    this.#hasReceivedBytes = true;
    const bytes = this.#partialEvent.length === 0
      ? Buffer.from(chunk)
      : Buffer.concat([this.#partialEvent, chunk]);
    const end = endOfLastEvent(bytes);
    if (end === 0) {
      this.#partialEvent = bytes;
      return Buffer.alloc(0);
    }
    const completeEvents = bytes.subarray(0, end);
    this.#partialEvent = bytes.subarray(end);
    this.#lastEventId = lastIdOf(completeEvents) ?? this.#lastEventId;
    return completeEvents;
  }

  /** Returns and clears blank lines after the last event, at a regular end. */
  flush(): Buffer {
    const rest = this.#partialEvent;
    this.#partialEvent = Buffer.alloc(0);
    return rest;
  }

  /** Drops a partial event before another endpoint resumes the stream. */
  dropPartialEvent(): void {
    this.#partialEvent = Buffer.alloc(0);
  }
}

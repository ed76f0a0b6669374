import { BodyLimitError } from "kelpspar-http";
import { lastIdOf } from "./event_stream.ts";
import { PartialEvent } from "./partial_event.ts";

/**
 * Largest event, up to one chunk more. Unfinished events of an endpoint with 64
 * slots stay within the memory that a daemon has beside its heap.
 */
const MAXIMUM_EVENT_BYTES = 1024 * 1024;

/**
 * Splits a stream into whole events and tracks the id of the last one. An
 * endpoint may fail in the middle of an event, while the endpoint that resumes
 * the stream begins with a whole event. Forwarding the partial event would join
 * the two into an event that no endpoint sent.
 */
export class StreamRelay {
  readonly #partialEvent = new PartialEvent();
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
    return this.#partialEvent.hasContent;
  }

  /** Bytes of memory that a partial event holds. */
  get heldBytes(): number {
    return this.#partialEvent.capacity;
  }

  /** True once any bytes were received, from whichever endpoint. */
  get hasReceivedBytes(): boolean {
    return this.#hasReceivedBytes;
  }

  /**
   * Adds bytes and returns the events that are now complete. Throws
   * `BodyLimitError` if there is none in 1 MiB.
   */
  push(chunk: Buffer): Buffer {
    this.#hasReceivedBytes = true;
    const completeEvents = this.#partialEvent.push(chunk);
    if (this.#partialEvent.length > MAXIMUM_EVENT_BYTES) {
      throw new BodyLimitError("endless_event");
    }
    this.#lastEventId = lastIdOf(completeEvents) ?? this.#lastEventId;
    return completeEvents;
  }

  /** Returns and clears blank lines after the last event, at a regular end. */
  flush(): Buffer {
    return this.#partialEvent.take();
  }

  /** Drops a partial event before another endpoint resumes the stream. */
  dropPartialEvent(): void {
    this.#partialEvent.clear();
  }
}

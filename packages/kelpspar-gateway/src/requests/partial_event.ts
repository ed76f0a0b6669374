import { GrowingBuffer } from "kelpspar-http";
import {
  endOfLastEvent,
  EVENT_CONTEXT_BYTES,
  includesCarriageReturn,
  isPartialEvent,
} from "./event_stream.ts";

const EMPTY = Buffer.alloc(0);

/**
 * The bytes since the last whole event. Only new bytes are searched for the end
 * of an event, so that the work doesn't grow with the square of its length.
 */
export class PartialEvent {
  readonly #buffer = new GrowingBuffer();
  #hasCarriageReturn = false;
  #hasContent = false;

  get length(): number {
    return this.#buffer.length;
  }

  /** Bytes of memory that are held. */
  get capacity(): number {
    return this.#buffer.capacity;
  }

  /** True if there are bytes other than line ends. */
  get hasContent(): boolean {
    return this.#hasContent;
  }

  /** Adds bytes; returns and removes the events that are now whole. */
  push(chunk: Buffer): Buffer {
    if (this.length === 0) {
      const end = endOfLastEvent(chunk);
      this.#append(chunk.subarray(end));
      return chunk.subarray(0, end);
    }
    const searchedFrom = Math.max(0, this.length - EVENT_CONTEXT_BYTES);
    const hasCarriageReturn = this.#hasCarriageReturn;
    this.#append(chunk);
    const { bytes } = this.#buffer;
    const end = endOfLastEvent(bytes.subarray(searchedFrom), {
      // The byte before decides whether a line feed is the rest of a CR LF.
      start: searchedFrom === 0 ? 0 : 1,
      hasCarriageReturn,
    });
    if (end === 0) return EMPTY;
    this.clear();
    this.#append(bytes.subarray(searchedFrom + end));
    return bytes.subarray(0, searchedFrom + end);
  }

  /** Returns and removes all bytes. */
  take(): Buffer {
    const { bytes } = this.#buffer;
    this.clear();
    return bytes;
  }

  clear(): void {
    this.#buffer.clear();
    this.#hasCarriageReturn = false;
    this.#hasContent = false;
  }

  #append(chunk: Buffer): void {
    if (chunk.length === 0) return;
    // A copy doesn't keep the whole read of the socket.
    this.#buffer.append(this.length === 0 ? Buffer.from(chunk) : chunk);
    this.#hasCarriageReturn ||= includesCarriageReturn(chunk);
    this.#hasContent ||= isPartialEvent(chunk);
  }
}

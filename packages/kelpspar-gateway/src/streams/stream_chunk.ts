import type { RowPut } from "../tables/row_range_store.ts";
import type { RecordedStream } from "./stream_origin.ts";
import type { StreamRow } from "./stream_row.ts";
import { EXPIRY_MARGIN_MILLISECONDS } from "./stream_origin.ts";

/** Attempts with longer ids aren't recorded, so that a chunk fits into a row. */
const MAXIMUM_ATTEMPT_ID_BYTES = 128;
const MAXIMUM_STREAMS = 200;

/** Options of a `StreamChunk`. */
export interface StreamChunkOptions {
  readonly key: string;
  readonly shard: string;
  /** Monotonic milliseconds. */
  readonly createdAt: number;
}

/** Begun streams of one shard that are written as one row. */
export class StreamChunk {
  key: string;
  readonly shard: string;
  /** Monotonic milliseconds. */
  readonly createdAt: number;
  readonly #streams: RecordedStream[] = [];
  #expiresAt = Number.NEGATIVE_INFINITY;
  /** True until the row is written as the chunk is now. */
  isChanged = false;

  constructor({ key, shard, createdAt }: StreamChunkOptions) {
    this.key = key;
    this.shard = shard;
    this.createdAt = createdAt;
  }

  /** When the last of its streams has ended, monotonic milliseconds. */
  get expiresAt(): number {
    return this.#expiresAt;
  }

  get isFull(): boolean {
    return this.#streams.length >= MAXIMUM_STREAMS;
  }

  add(stream: RecordedStream, now: number): void {
    if (Buffer.byteLength(stream.attemptId) > MAXIMUM_ATTEMPT_ID_BYTES) return;
    this.#streams.push(stream);
    this.#expiresAt = Math.max(
      this.#expiresAt,
      now + stream.remainingMilliseconds + EXPIRY_MARGIN_MILLISECONDS,
    );
    this.isChanged = true;
  }

  /** The row; `clockOffset` is added to times of this process. */
  toRow(clockOffset: number): RowPut {
    const attemptsBySoftware = new Map<string, string[]>();
    for (const { service, version, attemptId } of this.#streams) {
      const software = JSON.stringify({ service, version });
      const attempts = attemptsBySoftware.get(software);
      if (attempts === undefined) attemptsBySoftware.set(software, [attemptId]);
      else attempts.push(attemptId);
    }
    const row: StreamRow = {
      expiresAt: Math.round(this.#expiresAt + clockOffset),
      software: [...attemptsBySoftware].map(([software, attempts]) => ({
        ...JSON.parse(software) as { service: string; version: string },
        attempts,
      })),
    };
    return { key: this.key, text: JSON.stringify(row) };
  }
}

import type { RandomSource, TimerService } from "kelpspar-shared";
import type { GatewayLog } from "../log/gateway_log.ts";
import type { CheckedRows } from "../tables/checked_rows.ts";
import type { StoreClock } from "../tables/store_clock.ts";
import type { StoreEra } from "../tables/store_era.ts";
import type { RecordedStream } from "./stream_origin.ts";
import { MAXIMUM_ROW_CHANGES } from "../tables/row_range_store.ts";
import { StoreCallError } from "../tables/table_store.ts";
import { StreamChunk } from "./stream_chunk.ts";
import { shardOf, STREAMS_TABLE } from "./stream_shards.ts";
import { decodeStreamRow } from "./stream_row.ts";

/** Time between two writes; streams that begin meanwhile share the second one. */
const WRITE_INTERVAL_MILLISECONDS = 200;
/** Delay after a failed write, milliseconds. */
const RETRY_DELAY_MILLISECONDS = 500;
/** How long streams are added to a row, which is written anew with each. */
const CHUNK_MILLISECONDS = 1_000;
/** A full chunk may have 50 KB, and a call at most 1 MB. */
const MAXIMUM_WRITTEN_CHUNKS = 16;
const MAXIMUM_REMOVED_ROWS = MAXIMUM_ROW_CHANGES - MAXIMUM_WRITTEN_CHUNKS;
/** Rows that a restored store lost are rewritten within this time, ms. */
const REWRITE_JITTER_MILLISECONDS = 500;
/** Rows of other writers are removed this long after their streams ended. */
const FOREIGN_ROW_MARGIN_MILLISECONDS = 10_000;

/** Dependencies of a `StreamRowWriter`. */
export interface StreamRowWriterOptions {
  /** Unique for each start of a daemon; part of the keys of its rows. */
  readonly incarnation: string;
  readonly rows: Pick<CheckedRows, "readRows" | "writeRows">;
  readonly clock: StoreClock;
  readonly era: Pick<StoreEra, "registerListener">;
  readonly timer: TimerService;
  readonly random: RandomSource;
  readonly log: GatewayLog;
}

/** A row that may exist under a key that is no longer used. */
interface AbandonedRow {
  readonly key: string;
  /** Monotonic milliseconds. */
  readonly expiresAt: number;
}

/** Writes begun streams to the store in batches, and removes ended ones. */
export class StreamRowWriter {
  readonly #options: StreamRowWriterOptions;
  /** Chunks to which streams are added, by shard. */
  readonly #openChunks = new Map<string, StreamChunk>();
  readonly #chunks = new Set<StreamChunk>();
  readonly #abandoned = new Set<AbandonedRow>();
  #chunkNumber = 0;
  #isWriting = false;
  #isStopped = false;
  #stopTimer: (() => void) | undefined;
  #writeAt = Number.POSITIVE_INFINITY;
  /** Start of the last write, monotonic milliseconds. */
  #writtenAt = Number.NEGATIVE_INFINITY;

  constructor(options: StreamRowWriterOptions) {
    this.#options = options;
  }

  /** Writes lost rows again after a restore; returns the teardown. */
  register(): () => void {
    const { era, random } = this.#options;
    const unregister = era.registerListener(() => {
      for (const chunk of this.#chunks) chunk.isChanged = true;
      this.#schedule(random.next() * REWRITE_JITTER_MILLISECONDS);
    });
    return () => {
      unregister();
      this.#isStopped = true;
      this.#stopTimer?.();
    };
  }

  add(streams: readonly RecordedStream[]): void {
    const now = this.#options.timer.now();
    for (const stream of streams) this.#chunkFor(stream, now).add(stream, now);
    const nextWriteAt = this.#writtenAt + WRITE_INTERVAL_MILLISECONDS;
    this.#schedule(Math.max(0, nextWriteAt - now));
  }

  /**
   * Removes rows of daemons that ended before the streams in them; returns how
   * many rows remain.
   */
  async removeEndedRows(): Promise<number> {
    const store = this.#options.rows;
    const { rows, clockMilliseconds } = await store.readRows(STREAMS_TABLE);
    const removed = rows.filter(({ text }) => {
      const { expiresAt = 0 } = decodeStreamRow(text) ?? {};
      return expiresAt + FOREIGN_ROW_MARGIN_MILLISECONDS < clockMilliseconds;
    }).map(({ key }) => key);
    for (let from = 0; from < removed.length; from += MAXIMUM_ROW_CHANGES) {
      await store.writeRows(STREAMS_TABLE, {
        removed: removed.slice(from, from + MAXIMUM_ROW_CHANGES),
      });
    }
    return rows.length - removed.length;
  }

  #chunkFor({ attemptId }: RecordedStream, now: number): StreamChunk {
    const shard = shardOf(attemptId);
    const open = this.#openChunks.get(shard);
    const isUsable = open !== undefined && !open.isFull &&
      now - open.createdAt < CHUNK_MILLISECONDS;
    if (isUsable) return open;
    const chunk = new StreamChunk({
      key: this.#createKey(shard),
      shard,
      createdAt: now,
    });
    this.#openChunks.set(shard, chunk);
    this.#chunks.add(chunk);
    return chunk;
  }

  #createKey(shard: string): string {
    return `${shard}/${this.#options.incarnation}/${this.#chunkNumber++}`;
  }

  /** Writes after `milliseconds` at the latest. */
  #schedule(milliseconds: number): void {
    const { timer } = this.#options;
    const writeAt = timer.now() + milliseconds;
    const isWaiting = this.#isWriting || writeAt >= this.#writeAt;
    if (this.#isStopped || isWaiting) return;
    this.#stopTimer?.();
    this.#writeAt = writeAt;
    this.#stopTimer = timer.registerTimeout(() => {
      this.#writeAt = Number.POSITIVE_INFINITY;
      void this.#write();
    }, milliseconds);
  }

  async #write(): Promise<void> {
    this.#isWriting = true;
    this.#writtenAt = this.#options.timer.now();
    let delay = WRITE_INTERVAL_MILLISECONDS;
    try {
      await this.#writeOnce();
    } catch (error) {
      delay = RETRY_DELAY_MILLISECONDS;
      this.#options.log.warn("failed to record begun streams", {
        reason: error instanceof Error ? error.message : String(error),
      });
    }
    this.#isWriting = false;
    this.#scheduleNext(delay);
  }

  async #writeOnce(): Promise<void> {
    const { timer, rows, clock } = this.#options;
    const startedAt = timer.now();
    this.#endChunks(startedAt);
    const ended = [...this.#abandoned]
      .filter(({ expiresAt }) => expiresAt <= startedAt)
      .slice(0, MAXIMUM_REMOVED_ROWS);
    const changed = [...this.#chunks].filter(({ isChanged }) => isChanged)
      .slice(0, MAXIMUM_WRITTEN_CHUNKS);
    if (changed.length === 0 && ended.length === 0) return;
    const clockNow = clock.now;
    if (clockNow === undefined) throw new Error("The clock isn't known yet");
    for (const chunk of changed) chunk.isChanged = false;
    try {
      await rows.writeRows(STREAMS_TABLE, {
        puts: changed.map((chunk) => chunk.toRow(clockNow - startedAt)),
        removed: ended.map(({ key }) => key),
      });
      for (const row of ended) this.#abandoned.delete(row);
    } catch (error) {
      // An answer, such as a rejection, proves that nothing was written.
      const isRejected = error instanceof StoreCallError;
      for (const chunk of changed) {
        if (isRejected) chunk.isChanged = true;
        else this.#abandonKey(chunk);
      }
      throw error;
    }
  }

  /**
   * Gives a chunk another key: a failed write may still be applied, after a
   * later one of more streams.
   */
  #abandonKey(chunk: StreamChunk): void {
    const { key, expiresAt } = chunk;
    this.#abandoned.add({ key, expiresAt });
    chunk.key = this.#createKey(chunk.shard);
    chunk.isChanged = true;
  }

  /** Stops keeping chunks whose streams have ended; their rows are removed. */
  #endChunks(now: number): void {
    for (const chunk of this.#chunks) {
      if (chunk.expiresAt > now) continue;
      this.#chunks.delete(chunk);
      if (this.#openChunks.get(chunk.shard) === chunk) {
        this.#openChunks.delete(chunk.shard);
      }
      this.#abandoned.add({ key: chunk.key, expiresAt: chunk.expiresAt });
    }
  }

  #scheduleNext(delayMilliseconds: number): void {
    const rows = [...this.#chunks, ...this.#abandoned];
    if (rows.length === 0) return;
    if ([...this.#chunks].some(({ isChanged }) => isChanged)) {
      this.#schedule(delayMilliseconds);
      return;
    }
    const lastEnd = Math.max(...rows.map(({ expiresAt }) => expiresAt));
    const wait = lastEnd - this.#options.timer.now();
    this.#schedule(Math.max(delayMilliseconds, wait));
  }
}

import type { TimerService } from "kelpspar-shared";
import type { CheckedRows } from "../tables/checked_rows.ts";
import type { StreamOrigin } from "./stream_origin.ts";
import {
  keysOfShard,
  shardOf,
  STREAM_SHARDS,
  STREAMS_TABLE,
} from "./stream_shards.ts";
import { decodeStreamRow } from "./stream_row.ts";

/** Reads of a shard are at least this long apart, milliseconds. */
const MINIMUM_READ_INTERVAL_MILLISECONDS = 100;
/** Reads a second that all daemons together may make, apart from first ones. */
const FLEET_READS_PER_SECOND = 500;
const MILLISECONDS_PER_SECOND = 1_000;

/** Dependencies of a `StreamRowReader`. */
export interface StreamRowReaderOptions {
  readonly rows: Pick<CheckedRows, "readRows">;
  /** Number of daemons that read for all. */
  readonly readers: () => number;
  readonly timer: TimerService;
}

/** Streams by attempt; undefined if the rows contradict each other. */
type RecordedOrigins = ReadonlyMap<string, StreamOrigin | undefined>;

interface ShardRead {
  /** Monotonic milliseconds. */
  readonly startedAt: number;
  readonly origins: Promise<RecordedOrigins>;
}

/** Finds begun streams in the store; lookups share the reads of a shard. */
export class StreamRowReader {
  readonly #options: StreamRowReaderOptions;
  readonly #reads = new Map<string, ShardRead>();

  constructor(options: StreamRowReaderOptions) {
    this.#options = options;
  }

  /** Undefined if the stream isn't on record; throws if that isn't known. */
  async find(attemptId: string): Promise<StreamOrigin | undefined> {
    const shard = shardOf(attemptId);
    const now = this.#options.timer.now();
    let read = this.#reads.get(shard);
    if (read === undefined || now - read.startedAt >= this.#readInterval) {
      read = { startedAt: now, origins: this.#read(shard) };
      this.#reads.set(shard, read);
    }
    return (await read.origins).get(attemptId);
  }

  get #readInterval(): number {
    return Math.max(
      MINIMUM_READ_INTERVAL_MILLISECONDS,
      this.#options.readers() * STREAM_SHARDS * MILLISECONDS_PER_SECOND /
        FLEET_READS_PER_SECOND,
    );
  }

  async #read(shard: string): Promise<RecordedOrigins> {
    const answer = await this.#options.rows.readRows(
      STREAMS_TABLE,
      keysOfShard(shard),
    );
    const origins = new Map<string, StreamOrigin | undefined>();
    for (const { text } of answer.rows) {
      for (const software of decodeStreamRow(text)?.software ?? []) {
        addAttempts(origins, software);
      }
    }
    return origins;
  }
}

function addAttempts(
  origins: Map<string, StreamOrigin | undefined>,
  { service, version, attempts }: StreamOrigin & {
    readonly attempts: readonly string[];
  },
): void {
  for (const attemptId of attempts) {
    const known = origins.get(attemptId);
    const isOther = origins.has(attemptId) &&
      (known?.service !== service || known.version !== version);
    origins.set(attemptId, isOther ? undefined : { service, version });
  }
}

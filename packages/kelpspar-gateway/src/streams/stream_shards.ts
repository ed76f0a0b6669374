import type { KeyRange } from "../tables/row_range_store.ts";
import { hashText } from "kelpspar-decisions/routing";

/** kelpspar's own table of begun streams. */
export const STREAMS_TABLE = "streams";

/** Groups of streams whose rows are read together. */
export const STREAM_SHARDS = 4;

/** Group of a stream, by the id of the attempt that began it. */
export function shardOf(attemptId: string): string {
  return String(hashText(attemptId) % STREAM_SHARDS);
}

/** Keys of the rows of a group: its name, a slash, and what the writer adds. */
export function keysOfShard(shard: string): KeyRange {
  // "0" follows the slash in ASCII.
  return { from: `${shard}/`, to: `${shard}0` };
}

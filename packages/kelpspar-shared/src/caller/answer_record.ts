import type { Outcome } from "../results/outcome.ts";
import type { ResultName } from "../results/result_codes.ts";
import type { RetryAdvice } from "../results/retry_advice.ts";
import type { StageCost } from "./stage_cost.ts";

/** The first record of an answer. */
export interface AcceptedRecord {
  readonly type: "accepted";
  readonly requestId: string;
  /** The incarnation of the daemon that runs the request. */
  readonly daemon: string;
}

/** A piece of the answer's text. */
export interface ChunkRecord {
  readonly type: "chunk";
  /** Where the piece starts, in UTF-16 units from the answer's start. */
  readonly offset: number;
  readonly text: string;
}

/** The last record of a complete answer; without it the answer was cut off. */
export interface EndRecord {
  readonly type: "end";
  readonly requestId: string;
  /** The length of the complete text in UTF-16 units. */
  readonly length: number;
  /** CRC-32 of the complete text in UTF-8, eight hexadecimal digits. */
  readonly checksum: string;
  readonly cost: readonly StageCost[];
  /** Milliseconds from arrival at the daemon to this record. */
  readonly elapsedMilliseconds: number;
}

/** The last record of a request without a complete answer. */
export interface FailureRecord {
  readonly type: "failure";
  readonly code: number;
  readonly result: ResultName;
  readonly outcome: Outcome;
  readonly retry: RetryAdvice;
  /** Delay before a retry, in milliseconds; absent if a retry is useless. */
  readonly retryAfterMilliseconds?: number;
  readonly message: string;
  readonly requestId?: string;
  /** Other daemons to retry at, as `address:port`. */
  readonly elsewhere?: readonly string[];
}

/** One line of an answer's stream (newline-delimited JSON). */
export type AnswerRecord =
  | AcceptedRecord
  | ChunkRecord
  | EndRecord
  | FailureRecord;

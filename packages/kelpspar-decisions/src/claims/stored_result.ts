import type { StageCost } from "kelpspar-shared";

/** A completed request's whole answer, kept for retries. */
export interface KeptResult {
  readonly text: string;
  /** CRC-32 of the text in UTF-8, eight hexadecimal digits. */
  readonly checksum: string;
  /** Length of the text in UTF-16 units. */
  readonly length: number;
  readonly cost: readonly StageCost[];
}

/** What is kept of an answer whose text exceeds the limit. */
export interface OversizedResult {
  readonly tooLarge: true;
  readonly checksum: string;
  readonly length: number;
}

/** What a retry of a completed request receives. */
export type StoredResult = KeptResult | OversizedResult;

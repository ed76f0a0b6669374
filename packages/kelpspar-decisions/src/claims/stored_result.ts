import type { StageCost } from "kelpspar-shared";

/** Complete answer of a request, retained for retries. */
export interface KeptResult {
  readonly text: string;
  /** CRC-32 of the text in UTF-8, eight hexadecimal digits. */
  readonly checksum: string;
  /** Length of the text, UTF-16 units. */
  readonly length: number;
  readonly cost: readonly StageCost[];
}

/** Retained part of an answer whose text exceeds the limit. */
export interface OversizedResult {
  readonly tooLarge: true;
  readonly checksum: string;
  readonly length: number;
}

/** Result that a retry of a completed request receives. */
export type StoredResult = KeptResult | OversizedResult;

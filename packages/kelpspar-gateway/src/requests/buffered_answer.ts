/** A whole answer. */
export interface BufferedAnswer {
  readonly status: number;
  readonly headers: readonly string[];
  readonly body: Uint8Array;
}

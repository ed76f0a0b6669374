/** One measured point: what an operation costs at one size. */
export interface Measurement {
  /** The role of the daemon that pays it. */
  readonly role: string;
  /** What was done. */
  readonly name: string;
  /** What the size counts. */
  readonly unit: string;
  readonly size: number;
  /** Processor time of one operation, the median of several batches. */
  readonly microseconds?: number;
  /** Growth of the heap by the whole state; needs `--expose-gc`. */
  readonly stateBytes?: number;
  /** Bytes of one message as JSON. */
  readonly messageBytes?: number;
  /** Any other counted figure; `unit` and `name` say what of. */
  readonly count?: number;
}

/** What a measurement is of. */
export type Subject = Pick<Measurement, "role" | "name" | "unit" | "size">;

/** One measured point: the cost of an operation at one size. */
export interface Measurement {
  /** The part of the daemon that has the cost. */
  readonly role: string;
  /** The measured operation or state. */
  readonly name: string;
  /** Unit of `size`. */
  readonly unit: string;
  readonly size: number;
  /** Processor time of one operation: the median of several batches. */
  readonly microseconds?: number;
  /** Heap growth by the whole state, in bytes; needs `--expose-gc`. */
  readonly stateBytes?: number;
  /** Size of one message as JSON, in bytes. */
  readonly messageBytes?: number;
  /** Any other count, described by `name`. */
  readonly count?: number;
}

/** The fields that identify a measurement. */
export type Subject = Pick<Measurement, "role" | "name" | "unit" | "size">;

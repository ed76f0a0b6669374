/** An endpoint's own entry in the endpoint list. */
export interface EndpointEntry {
  /** Unchanged when the endpoint restarts; see `bornAt`. */
  readonly id: string;
  /** Start of this incarnation, Unix milliseconds by the endpoint's clock. */
  readonly bornAt: number;
  readonly service: string;
  /** `address:port`. */
  readonly address: string;
  readonly zone: string;
  /** Version of its software; undefined if it reports none. */
  readonly version?: string | undefined;
  readonly slots: number;
  readonly isDraining: boolean;
  /** Remaining cold time when the entry was written. */
  readonly coldMilliseconds?: number;
}

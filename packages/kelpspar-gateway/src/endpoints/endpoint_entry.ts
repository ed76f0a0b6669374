/** An endpoint's own entry in the list of endpoints. */
export interface EndpointEntry {
  /** An endpoint may start again under the id that it had; see `bornAt`. */
  readonly id: string;
  /** When this life of the endpoint began, Unix milliseconds, by its clock. */
  readonly bornAt: number;
  readonly service: string;
  /** `address:port`. */
  readonly address: string;
  readonly zone: string;
  readonly slots: number;
  readonly isDraining: boolean;
  /** How much longer it is cold, as of its writing, milliseconds. */
  readonly coldMilliseconds?: number;
}

/** An endpoint's own entry in the list of endpoints. */
export interface EndpointEntry {
  /** New with each start of the endpoint. */
  readonly id: string;
  readonly service: string;
  /** `address:port`. */
  readonly address: string;
  readonly zone: string;
  readonly slots: number;
  readonly isDraining: boolean;
}

/** A daemon that a caller may use. */
export interface DaemonAddress {
  readonly address: string;
  readonly port: number;
  readonly availabilityZone: string;
  /** The daemon's incarnation; prefixes idempotency keys bound to it. */
  readonly incarnation: string;
  /** The epoch to include in keys bound to this daemon. */
  readonly keyEpoch: number;
  /** Share of new requests to send here, relative to the others. */
  readonly weight: number;
}

/** The response body of `GET /v1/addresses`. */
export interface AddressAnswer {
  readonly daemons: readonly DaemonAddress[];
  /** How long a caller may cache this response, in milliseconds. */
  readonly keepMilliseconds: number;
}

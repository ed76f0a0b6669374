/**
 * Loads of several endpoints, column by column: the n-th entries belong to one
 * endpoint. As JSON this takes a third of what a list of objects takes, and at
 * the target size these are most of a digest.
 */
export interface EndpointLoads {
  readonly endpointIds: readonly string[];
  /** The reports' sequences, whose incarnations travelled earlier. */
  readonly sequences: readonly number[];
  readonly running: readonly number[];
  readonly waiting: readonly number[];
  readonly accepted: readonly number[];
  /** The reports' ages when the digest was sent, milliseconds. */
  readonly agesMilliseconds: readonly number[];
}

/** The loads of a daemon that publishes none. */
export const NO_ENDPOINT_LOADS: EndpointLoads = {
  endpointIds: [],
  sequences: [],
  running: [],
  waiting: [],
  accepted: [],
  agesMilliseconds: [],
};

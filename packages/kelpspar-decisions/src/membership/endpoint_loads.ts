/**
 * Loads of several endpoints in columns: the n-th entries belong to the same
 * endpoint. As JSON this takes a third of the size of a list of objects; at the
 * target fleet size loads are most of a digest.
 */
export interface EndpointLoads {
  readonly endpointIds: readonly string[];
  /** Sequence numbers of the reports; their incarnations were sent earlier. */
  readonly sequences: readonly number[];
  readonly running: readonly number[];
  readonly waiting: readonly number[];
  readonly accepted: readonly number[];
  /** Ages of the reports when the digest was sent, milliseconds. */
  readonly agesMilliseconds: readonly number[];
}

/** Loads of a daemon that publishes none. */
export const NO_ENDPOINT_LOADS: EndpointLoads = {
  endpointIds: [],
  sequences: [],
  running: [],
  waiting: [],
  accepted: [],
  agesMilliseconds: [],
};

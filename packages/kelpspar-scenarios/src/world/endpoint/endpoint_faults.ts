/** Faults of an endpoint. `...Every: N` affects every Nth call; 0 means never. */
export interface EndpointFaults {
  readonly slowFactor: number;
  /** Runs the call, then reports a failure. */
  readonly failEvery: number;
  /** Runs the call, then breaks the connection without an answer. */
  readonly loseAnswerEvery: number;
  /** Runs the call and never answers. */
  readonly hangEvery: number;
  /** Ends the stream early, without an end record. */
  readonly cutEvery: number;
  /** Omits a piece but sends the end record. */
  readonly gapEvery: number;
  readonly duplicatesRecords: boolean;
  readonly reordersRecords: boolean;
  /** Mixes records of other calls into the stream. */
  readonly mixesRecords: boolean;
  /** Splits surrogate pairs between pieces. */
  readonly splitsCharacters: boolean;
  /** Rejects every call with a failure record that says it was not started. */
  readonly isOverloaded: boolean;
  /** Omits from its load report that it is leaving. */
  readonly hidesLeaving: boolean;
  /** Accepts calls while it is leaving. */
  readonly acceptsCallsWhileLeaving: boolean;
}

/** A healthy endpoint. */
export const NO_ENDPOINT_FAULTS: EndpointFaults = {
  slowFactor: 1,
  failEvery: 0,
  loseAnswerEvery: 0,
  hangEvery: 0,
  cutEvery: 0,
  gapEvery: 0,
  duplicatesRecords: false,
  reordersRecords: false,
  mixesRecords: false,
  splitsCharacters: false,
  isOverloaded: false,
  hidesLeaving: false,
  acceptsCallsWhileLeaving: true,
};

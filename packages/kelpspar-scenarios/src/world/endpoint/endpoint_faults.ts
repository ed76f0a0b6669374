/** What is wrong with an endpoint. Every Nth counts calls; 0 is never. */
export interface EndpointFaults {
  readonly slowFactor: number;
  /** Runs the call, then says that it failed. */
  readonly failEvery: number;
  /** Runs the call, then drops the connection without an answer. */
  readonly loseAnswerEvery: number;
  /** Runs the call and never answers. */
  readonly hangEvery: number;
  /** Ends the stream in the middle as if it were whole. */
  readonly cutEvery: number;
  /** Leaves a piece out, and sends the end record all the same. */
  readonly gapEvery: number;
  readonly duplicatesRecords: boolean;
  readonly reordersRecords: boolean;
  /** Sends records of another call among those of this one. */
  readonly mixesRecords: boolean;
  /** Cuts its pieces without regard to characters of two UTF-16 units. */
  readonly splitsCharacters: boolean;
  /** Answers every call by a failure record: not started. */
  readonly isOverloaded: boolean;
  /** Its report says nothing of its leaving. */
  readonly hidesLeaving: boolean;
  /** Takes calls although it is leaving. */
  readonly acceptsCallsWhileLeaving: boolean;
}

/** An endpoint that is well. */
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

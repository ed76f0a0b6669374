/**
 * How a call to an endpoint ended, as routing counts it. `silent`: no progress
 * in time; `refused`: no connection; `overloaded` and `leaving`: the endpoint
 * said so itself and did not start the call; `cancelled`: nobody wanted the
 * result any more.
 */
export type CallOutcome =
  | "success"
  | "failed"
  | "silent"
  | "refused"
  | "overloaded"
  | "leaving"
  | "cancelled";

/**
 * Outcome of a call to an endpoint, as routing classifies it. `silent`: no
 * progress before the timeout; `refused`: no connection; `overloaded` and
 * `leaving`: the endpoint reported this and didn't start the call;
 * `cancelled`: the result was no longer needed.
 */
export type CallOutcome =
  | "success"
  | "failed"
  | "silent"
  | "refused"
  | "overloaded"
  | "leaving"
  | "cancelled";

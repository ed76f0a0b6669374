/**
 * The kind of a step: submit the request, attach to the running request at the
 * offset reached, or look up its result by its idempotency key.
 */
export type StepKind = "submit" | "attach" | "look_up";

/** The next exchange of a run. */
export interface Step {
  readonly type: "step";
  readonly kind: StepKind;
  /** The daemon of the last step, an untried daemon, or any daemon. */
  readonly where: "same" | "other" | "any";
  /** Daemons that the last one suggested instead, as `address:port`. */
  readonly elsewhere?: readonly string[];
  /**
   * `none` means no wait. `backoff` grows with the steps without progress. A
   * number is the minimum wait that the daemon requested, in milliseconds.
   */
  readonly wait: "none" | "backoff" | number;
  /** True when the step may repeat work and therefore consumes retry budget. */
  readonly isRetry: boolean;
}

/** Ends a run without a whole answer. */
export interface GiveUp {
  readonly type: "give_up";
  /** True when the run itself failed, not only the last step. */
  readonly isFinal: boolean;
}

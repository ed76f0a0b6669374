/**
 * What a run does next: submit the request, attach to the running request at
 * the offset reached, or look its result up by its idempotency key.
 */
export type StepKind = "submit" | "attach" | "look_up";

/** The next exchange of a run. */
export interface Step {
  readonly type: "step";
  readonly kind: StepKind;
  /** The daemon just used, one not yet tried, or any. */
  readonly where: "same" | "other" | "any";
  /** Daemons that the last one named instead of itself, as `address:port`. */
  readonly elsewhere?: readonly string[];
  /**
   * `none` for at once; `backoff` grows with the steps that brought nothing;
   * a number is the daemon's own wish in milliseconds, and the least.
   */
  readonly wait: "none" | "backoff" | number;
  /** True when the step may run work again, and so spends the budget. */
  readonly isRetry: boolean;
}

/** The end of a run that got no whole answer. */
export interface GiveUp {
  readonly type: "give_up";
  /** True when the run's own failure is known, not just the last step's. */
  readonly isFinal: boolean;
}

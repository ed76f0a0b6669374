/** An immutable snapshot of a run's state. */
export interface RunState {
  readonly nonIdempotent: boolean;
  /** True when the run can be looked up by a key. */
  readonly hasKey: boolean;
  /** True when a new key is generated for each submission. */
  readonly mintsKeys: boolean;
  /** True when a submission before the last may have run. */
  readonly earlierMayHaveRun: boolean;
  /** True when the last submission may have run. */
  readonly currentMayHaveRun: boolean;
  /** Consecutive steps without progress. */
  readonly idleSteps: number;
  /** Answers that were complete but did not match their end records. */
  readonly corruptions: number;
}

/** The state of a run before its first step. */
export function createRunState(
  options: Omit<
    RunState,
    "earlierMayHaveRun" | "idleSteps" | "corruptions"
  >,
): RunState {
  return {
    ...options,
    earlierMayHaveRun: false,
    idleSteps: 0,
    corruptions: 0,
  };
}

/** True unless the request is proven never to have run. */
export function mayHaveRun(state: RunState): boolean {
  return state.earlierMayHaveRun || state.currentMayHaveRun;
}

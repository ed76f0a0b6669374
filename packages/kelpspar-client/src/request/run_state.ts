/** What a run knows about itself: an immutable snapshot. */
export interface RunState {
  readonly nonIdempotent: boolean;
  /** True when the run has a key to be looked up by. */
  readonly hasKey: boolean;
  /** True when each submission gets a key of its own. */
  readonly mintsKeys: boolean;
  /** True when a submission before the last may have run. */
  readonly earlierMayHaveRun: boolean;
  /** True when the last submission may have run. */
  readonly currentMayHaveRun: boolean;
  /** Steps in a row that brought nothing. */
  readonly idleSteps: number;
  /** Answers that were complete but wrong. */
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

/** True unless it is proved that the request never ran. */
export function mayHaveRun(state: RunState): boolean {
  return state.earlierMayHaveRun || state.currentMayHaveRun;
}

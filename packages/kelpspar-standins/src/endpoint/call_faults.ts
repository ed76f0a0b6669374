/** The faults drawn for one call. */
export interface CallFaults {
  /** Whether the call fails, before it starts or while it runs. */
  readonly fails: "never" | "before" | "running";
  /** Whether the call completes, but its connection drops before the end. */
  readonly losesAnswer: boolean;
  /** Whether the connection drops while records are sent. */
  readonly cuts: boolean;
  /** Progress at which the call fails or its connection drops, 0 to 1. */
  readonly progress: number;
}

import type { RunServices } from "./run_services.ts";

/** Options of a `RequestRun`. */
export interface RunOptions {
  readonly services: RunServices;
  /** True to yield text as it arrives; false to wait for the whole answer. */
  readonly isStreamed: boolean;
  /** Aborting it cancels the run. */
  readonly signal: AbortSignal | undefined;
  /** The kind of the first step. */
  readonly firstKind: "submit" | "look_up";
}

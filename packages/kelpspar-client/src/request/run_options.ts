import type { RunServices } from "./run_services.ts";

/** How one run is made. */
export interface RunOptions {
  readonly services: RunServices;
  /** True to hand text out as it comes; false to wait for the whole. */
  readonly isStreamed: boolean;
  /** Aborting it cancels the run. */
  readonly signal: AbortSignal | undefined;
  /** The first step; look-ups begin with one. */
  readonly firstKind: "submit" | "look_up";
}

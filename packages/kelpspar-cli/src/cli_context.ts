import type { RandomSource, TimerService } from "kelpspar-shared";
import type { Output } from "./output/output.ts";

/** What commands use of the process they run in. */
export interface CliContext {
  readonly output: Output;
  readonly timer: TimerService;
  readonly random: RandomSource;
  readonly environment: Readonly<Record<string, string | undefined>>;
  /** Throws what `node:fs` throws. */
  readonly readFile: (path: string) => Promise<string>;
}

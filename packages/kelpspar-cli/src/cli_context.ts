import type { RandomSource, TimerService } from "kelpspar-shared";
import type { Output } from "./output/output.ts";

/** The parts of the process that commands use. */
export interface CliContext {
  readonly output: Output;
  readonly timer: TimerService;
  readonly random: RandomSource;
  readonly environment: Readonly<Record<string, string | undefined>>;
  /** Throws the errors of `node:fs`. */
  readonly readFile: (path: string) => Promise<string>;
}

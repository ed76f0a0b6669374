import type { ResultName } from "kelpspar-shared";

/** What a command came to. */
export interface CommandResult {
  /** Decides the exit code; `ok` when absent. */
  readonly result?: ResultName;
  /** What `--json` prints. */
  readonly data: unknown;
  /** What is printed otherwise. */
  readonly text: string;
}

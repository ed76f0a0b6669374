import type { ResultName } from "kelpspar-shared";

/** The result of a command. */
export interface CommandResult {
  /** Determines the exit code; `ok` if absent. */
  readonly result?: ResultName;
  /** Printed with `--json`. */
  readonly data: unknown;
  /** Printed without `--json`. */
  readonly text: string;
}

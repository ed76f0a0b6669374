/** A safeguard in the code and how to disable it. */
export interface Guard {
  readonly name: string;
  /** Source file, relative to the repository root. */
  readonly file: string;
  /** Code of the guard, which occurs exactly once in the file. */
  readonly code: string;
  /** Replacement that disables the guard. */
  readonly without: string;
  /** Test file that must fail without the guard, relative to the root. */
  readonly noticedBy: string;
}

/** A mechanism of the gateway's decisions and how to disable it. */
export interface Mechanism {
  /** Short name without spaces, for the command line. */
  readonly name: string;
  /** Source file, relative to the repository root. */
  readonly file: string;
  /** Code that occurs exactly once in the file. */
  readonly code: string;
  /** Replacement that disables the mechanism. */
  readonly without: string;
}

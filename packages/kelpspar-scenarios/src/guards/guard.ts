/** One guard of the gateway's code and how it is taken away. */
export interface Guard {
  readonly name: string;
  /** Source file, from the root of the repository. */
  readonly file: string;
  /** The guard as it stands there, once. */
  readonly code: string;
  /** What stands there without it. */
  readonly without: string;
  /** Test file that must fail then, from the root. */
  readonly noticedBy: string;
}

/** A mechanism of the gateway's decisions and how it is switched off. */
export interface Mechanism {
  /** Short, without spaces: names it on the command line. */
  readonly name: string;
  /** Source file, from the root of the repository. */
  readonly file: string;
  /** What stands there once. */
  readonly code: string;
  /** What stands there with the mechanism off. */
  readonly without: string;
}

/** The destination of commands' output. */
export interface Output {
  /** Prints a result unchanged. */
  print(text: string): void;
  /** Prints an error message, separately from results. */
  printError(text: string): void;
}

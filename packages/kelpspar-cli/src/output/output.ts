/** Where commands print. */
export interface Output {
  /** Prints an answer, as it is. */
  print(text: string): void;
  /** Prints what went wrong, apart from answers. */
  printError(text: string): void;
}

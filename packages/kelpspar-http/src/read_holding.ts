/** Options of a `ReadHolding`. */
export interface ReadHoldingOptions {
  /** Gives up what is held. */
  readonly cut: () => void;
  /** Called with the change of the held bytes. */
  readonly onChange: (bytes: number) => void;
  readonly onEnd: () => void;
}

/** The bytes of one unfinished body or event in a `ReadBudget`. */
export class ReadHolding {
  readonly #options: ReadHoldingOptions;
  #bytes = 0;
  #hasEnded = false;

  constructor(options: ReadHoldingOptions) {
    this.#options = options;
  }

  get bytes(): number {
    return this.#bytes;
  }

  /** Sets how many bytes are held. */
  set(bytes: number): void {
    if (this.#hasEnded) return;
    const change = bytes - this.#bytes;
    this.#bytes = bytes;
    this.#options.onChange(change);
  }

  /** Ends the holding; its bytes don't count any more. */
  end(): void {
    if (this.#hasEnded) return;
    this.#hasEnded = true;
    this.#options.onEnd();
    this.#options.onChange(-this.#bytes);
    this.#bytes = 0;
  }

  /** Ends the holding because the budget is exceeded. */
  cut(): void {
    if (this.#hasEnded) return;
    this.end();
    this.#options.cut();
  }
}

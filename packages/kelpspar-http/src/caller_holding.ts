/** What the bytes of a holding are. */
export type HoldingState =
  /** A body of which more is to come. */
  | "arriving"
  /** Needed until a request has ended; never given up. */
  | "kept"
  /** An answer that its reader has not taken yet. */
  | "unread";

/** Why a holding was given up. */
export type CutReason =
  /** All holdings together exceed the budget. */
  | "no_memory"
  /** Too few bytes came or were read. */
  | "too_slow";

/** Options of a `CallerHolding`. */
export interface CallerHoldingOptions {
  readonly state: HoldingState;
  /** Of the other side of the connection. */
  readonly address: string;
  /** Gives up what is held; never called while it is `kept`. */
  readonly cut: (reason: CutReason) => void;
  readonly now: () => number;
  /** Called when the held bytes change, with the number before. */
  readonly onChange: (holding: CallerHolding, before: number) => void;
  /** Called when the holding becomes `kept`. */
  readonly onKeep: (holding: CallerHolding) => void;
  readonly onEnd: (holding: CallerHolding) => void;
}

/** What one body or answer holds in a `CallerBudget`. */
export class CallerHolding {
  readonly address: string;
  /** Time of the last progress, monotonic milliseconds. */
  progressedAt: number;
  /** Bytes that came or were read in this span, and its checks so far. */
  span = { bytes: 0, checks: 0 };
  readonly #options: CallerHoldingOptions;
  #state: HoldingState;
  #bytes = 0;
  #hasEnded = false;

  constructor(options: CallerHoldingOptions) {
    this.#options = options;
    this.address = options.address;
    this.#state = options.state;
    this.progressedAt = options.now();
  }

  get state(): HoldingState {
    return this.#state;
  }

  get bytes(): number {
    return this.#bytes;
  }

  get isCuttable(): boolean {
    return this.#state !== "kept";
  }

  /** Records that bytes of the body came, or bytes of the answer were read. */
  progress(bytes: number): void {
    this.progressedAt = this.#options.now();
    this.span.bytes += bytes;
  }

  /** Sets how many bytes are held; this or another holding may be cut for it. */
  set(bytes: number): void {
    if (this.#hasEnded || bytes === this.#bytes) return;
    const before = this.#bytes;
    this.#bytes = bytes;
    this.#options.onChange(this, before);
  }

  /** The body is whole; it isn't given up any more. */
  keep(): void {
    if (this.#hasEnded || !this.isCuttable) return;
    this.#state = "kept";
    this.#options.onKeep(this);
  }

  /** Ends the holding; its bytes don't count any more. */
  end(): void {
    if (this.#hasEnded) return;
    const before = this.#bytes;
    this.#hasEnded = true;
    this.#options.onEnd(this);
    this.#bytes = 0;
    this.#options.onChange(this, before);
  }

  /** Ends the holding and gives up what is held. */
  cut(reason: CutReason): void {
    if (this.#hasEnded) return;
    this.end();
    this.#options.cut(reason);
  }
}

import type { CutReason, HoldingState } from "./caller_holding.ts";
import { CallerHolding } from "./caller_holding.ts";
import { CHECK_INTERVAL_MILLISECONDS, checkPace } from "./check_pace.ts";
import { chooseCut } from "./choose_cut.ts";
import { UncollectedBytes } from "./uncollected_bytes.ts";

/** Larger bodies and answers leave a part of the budget to smaller ones. */
export const MAXIMUM_SMALL_BYTES = 64 * 1024;
/** Share of the budget that large bodies and answers can't take. */
const SMALL_SHARE = 1 / 8;
const DEFAULT_BYTES = 96 * 1024 * 1024;

/** What was given up, or refused before it came. */
export interface CallerCut {
  readonly state: HoldingState;
  readonly reason: CutReason;
}

/** The parts of the timer service that are used. */
export interface BudgetTimer {
  /** Monotonic time, milliseconds. */
  now(): number;
  /** Calls `listener` again and again; returns the teardown. */
  registerInterval(listener: () => void, milliseconds: number): () => void;
}

/** Options of a `CallerBudget`. */
export interface CallerBudgetOptions {
  readonly timer: BudgetTimer;
  /** Default 96 MiB. */
  readonly maximumBytes?: number;
  /** Called for all that is given up or refused; default none. */
  readonly onCut?: (cut: CallerCut) => void;
}

/** What `open` needs to know of a body or an answer. */
export interface OpenHoldingOptions {
  readonly state: HoldingState;
  /** Of the other side of the connection; default unknown. */
  readonly address?: string | undefined;
  /** Gives it up; never called while it is `kept`. */
  readonly cut?: (reason: CutReason) => void;
}

/**
 * Bounds the memory that callers and other daemons make this process hold:
 * unfinished bodies, requests until they have ended, and answers that wait for
 * their reader. What was passed on to an endpoint is never given up.
 */
export class CallerBudget {
  readonly #timer: BudgetTimer;
  readonly #maximumBytes: number;
  readonly #maximumLargeBytes: number;
  /** Large buffers that were released; small ones don't count. */
  readonly #uncollected: UncollectedBytes;
  readonly #onCut: (cut: CallerCut) => void;
  readonly #holdings = new Set<CallerHolding>();
  readonly #held = { all: 0, large: 0 };
  /** The part of it that is never given up. */
  readonly #kept = { all: 0, large: 0 };

  /** Undefined while nothing is held. */
  #stopChecks: (() => void) | undefined;

  constructor(options: CallerBudgetOptions) {
    const { maximumBytes = DEFAULT_BYTES } = options;
    this.#timer = options.timer;
    this.#uncollected = new UncollectedBytes(() => this.#timer.now());
    this.#maximumBytes = maximumBytes;
    this.#maximumLargeBytes = maximumBytes * (1 - SMALL_SHARE);
    this.#onCut = options.onCut ?? ((): void => {});
  }

  /** Bytes that are held now. */
  get bytes(): number {
    return this.#held.all;
  }

  /**
   * Whether so many bytes fit beside what is never given up; counts a refusal
   * if they don't.
   */
  admit(bytes: number): boolean {
    const { all, large } = this.#kept;
    const isFitting = largePart(bytes) === 0
      ? all + bytes <= this.#maximumBytes
      : large + this.#uncollected.bytes + bytes <= this.#maximumLargeBytes;
    if (!isFitting) this.#onCut({ state: "arriving", reason: "no_memory" });
    return isFitting;
  }

  /** Begins to count what is held for one body or answer. */
  open(options: OpenHoldingOptions): CallerHolding {
    const { state, address = "", cut = (): void => {} } = options;
    const holding: CallerHolding = new CallerHolding({
      state,
      address,
      cut: (reason) => {
        this.#onCut({ state: holding.state, reason });
        cut(reason);
      },
      now: () => this.#timer.now(),
      onChange: (changed, before) => this.#change(changed, before),
      onKeep: ({ bytes }) => count(this.#kept, bytes, 0),
      onEnd: (ended) => {
        this.#holdings.delete(ended);
        // What arrives is held in segments, which are used again at once.
        if (ended.state === "arriving") return;
        const bytes = largePart(ended.bytes);
        if (bytes > 0) this.#uncollected.add(bytes);
      },
    });
    this.#holdings.add(holding);
    this.#stopChecks ??= this.#timer.registerInterval(
      () => this.#checkPace(),
      CHECK_INTERVAL_MILLISECONDS,
    );
    return holding;
  }

  #change({ bytes, isCuttable }: CallerHolding, before: number): void {
    count(this.#held, bytes, before);
    if (!isCuttable) count(this.#kept, bytes, before);
    if (bytes > before) this.#enforce();
  }

  #checkPace(): void {
    for (const holding of [...this.#holdings]) {
      if (!checkPace(holding)) holding.cut("too_slow");
    }
    // Not at the end of each request, most of which last for milliseconds.
    if (this.#holdings.size > 0) return;
    this.#stopChecks?.();
    this.#stopChecks = undefined;
  }

  #enforce(): void {
    for (let cut = this.#findCut(); cut !== undefined; cut = this.#findCut()) {
      cut.cut("no_memory");
    }
  }

  #findCut(): CallerHolding | undefined {
    const { all, large } = this.#held;
    const rest = this.#maximumLargeBytes - large;
    if (rest < 0) return this.#choose(isLarge);
    if (all > this.#maximumBytes) return this.#choose(() => true);
    // Endpoints have made answers already, which are not given up for that.
    if (rest < this.#uncollected.bytes) {
      return this.#choose((holding) =>
        isLarge(holding) && holding.state === "arriving"
      );
    }
    return undefined;
  }

  #choose(
    isEligible: (holding: CallerHolding) => boolean,
  ): CallerHolding | undefined {
    const now = this.#timer.now();
    return chooseCut(this.#holdings, { now, isEligible });
  }
}

/** Bytes of some holdings, and those of the large ones among them. */
interface HeldBytes {
  all: number;
  large: number;
}

function count(held: HeldBytes, bytes: number, before: number): void {
  held.all += bytes - before;
  held.large += largePart(bytes) - largePart(before);
}

function isLarge({ bytes }: CallerHolding): boolean {
  return largePart(bytes) > 0;
}

function largePart(bytes: number): number {
  return bytes > MAXIMUM_SMALL_BYTES ? bytes : 0;
}

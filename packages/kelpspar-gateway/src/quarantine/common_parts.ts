/** Sound answers that are remembered. */
const MAXIMUM_ANSWERS = 100;
/** How many of them make a part common. */
const COMMON_ANSWERS = 10;
/** The same while they are half of all, as at a daemon that has just started. */
const MINIMUM_COMMON_ANSWERS = 3;
const COMMON_SHARE = 0.5;
const LIFETIME_MILLISECONDS = 300_000;

interface RememberedAnswer {
  readonly parts: readonly string[];
  readonly at: number;
}

/**
 * The parts that many of this daemon's latest sound answers have. Such a part is
 * at most crashes whatever causes them, so that reports of crashes name it.
 */
export class CommonParts {
  readonly #answers: RememberedAnswer[] = [];
  readonly #counts = new Map<string, number>();

  /** Remembers a sound answer; `now` is in monotonic milliseconds. */
  add(parts: readonly string[], now: number): void {
    if (parts.length === 0) return;
    this.#answers.push({ parts: [...new Set(parts)], at: now });
    this.#count(this.#answers.at(-1), 1);
    if (this.#answers.length > MAXIMUM_ANSWERS) this.#dropOldest();
  }

  has(part: string, now: number): boolean {
    while ((this.#answers[0]?.at ?? now) < now - LIFETIME_MILLISECONDS) {
      this.#dropOldest();
    }
    const count = this.#counts.get(part) ?? 0;
    const isUsual = count >= MINIMUM_COMMON_ANSWERS &&
      count >= COMMON_SHARE * this.#answers.length;
    return isUsual || count >= COMMON_ANSWERS;
  }

  #dropOldest(): void {
    this.#count(this.#answers.shift(), -1);
  }

  #count(answer: RememberedAnswer | undefined, sign: 1 | -1): void {
    for (const part of answer?.parts ?? []) {
      const count = (this.#counts.get(part) ?? 0) + sign;
      if (count === 0) this.#counts.delete(part);
      else this.#counts.set(part, count);
    }
  }
}

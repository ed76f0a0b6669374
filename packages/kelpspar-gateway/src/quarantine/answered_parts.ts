/** Answers that are remembered. */
const MAXIMUM_ANSWERS = 100;
const LIFETIME_MILLISECONDS = 300_000;

interface RememberedAnswer {
  readonly parts: readonly string[];
  readonly at: number;
}

/** Counts the parts of this daemon's latest answers. */
export class AnsweredParts {
  readonly #answers: RememberedAnswer[] = [];
  readonly #counts = new Map<string, number>();

  /** Remembers an answer; `now` is in monotonic milliseconds. */
  add(parts: readonly string[], now: number): void {
    if (parts.length === 0) return;
    this.#answers.push({ parts: [...new Set(parts)], at: now });
    this.#count(this.#answers.at(-1), 1);
    if (this.#answers.length > MAXIMUM_ANSWERS) this.#dropOldest();
  }

  /** Number of answers that are remembered. */
  size(now: number): number {
    this.#dropExpired(now);
    return this.#answers.length;
  }

  /** Number of these that have the part. */
  countOf(part: string, now: number): number {
    this.#dropExpired(now);
    return this.#counts.get(part) ?? 0;
  }

  #dropExpired(now: number): void {
    while ((this.#answers[0]?.at ?? now) < now - LIFETIME_MILLISECONDS) {
      this.#dropOldest();
    }
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

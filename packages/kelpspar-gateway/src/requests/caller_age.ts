/** What the age of a request is read from; milliseconds. */
export interface CallerAgeOptions {
  readonly route: string;
  /** How long the caller says it still waits. */
  readonly deadline: number | undefined;
  /** The longest that the route keeps a caller waiting. */
  readonly timeout: number;
}

/**
 * How long callers have been waiting when they come back after a refusal.
 * They say how long they still wait; a fresh one says as much as the longest
 * that the route's callers ever said.
 */
export class CallerAge {
  readonly #longest = new Map<string, number>();

  /** Milliseconds since the caller's first attempt, about. */
  of(options: CallerAgeOptions): number {
    const { route, deadline, timeout } = options;
    if (deadline === undefined) return 0;
    const longest = Math.max(this.#longest.get(route) ?? 0, deadline);
    this.#longest.set(route, longest);
    // A few patient callers must not make all others look old.
    return Math.max(0, Math.min(longest, timeout) - deadline);
  }
}

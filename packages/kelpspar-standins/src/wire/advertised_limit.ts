/** A limit that a runner named from a moment on. */
export interface LimitChange {
  /** Monotonic milliseconds. */
  readonly at: number;
  /** What it names; undefined for none. */
  readonly text: string | undefined;
}

/** The limit that a stand-in names in all answers, and what came meanwhile. */
export class NamedLimit {
  readonly changes: LimitChange[] = [];
  /** When requests came, those that it refused too; monotonic milliseconds. */
  readonly arrivals: number[] = [];

  get text(): string | undefined {
    return this.changes.at(-1)?.text;
  }

  set text(text: string | undefined) {
    if (text === this.text) return;
    this.changes.push({ at: performance.now(), text });
  }

  /** Notes that a request came. */
  arrived(): void {
    this.arrivals.push(performance.now());
  }
}

import type { ManualTimer } from "kelpspar-shared";

interface ScheduledAction {
  readonly dueAt: number;
  readonly order: number;
  readonly action: () => void | Promise<void>;
}

/** What the scenario has planned, carried out as time passes. */
export class ActionQueue {
  readonly #timer: ManualTimer;
  #items: ScheduledAction[] = [];
  #nextOrder = 0;

  constructor(timer: ManualTimer) {
    this.#timer = timer;
  }

  schedule(milliseconds: number, action: () => void | Promise<void>): void {
    const dueAt = this.#timer.now() + milliseconds;
    this.#items.push({ dueAt, order: this.#nextOrder++, action });
  }

  /** Lets time pass; each action ends before time goes on. */
  async advance(milliseconds: number): Promise<void> {
    const target = this.#timer.now() + milliseconds;
    for (;;) {
      const next = this.#dequeueDue(target);
      if (next === undefined) break;
      await this.#timer.advance(Math.max(0, next.dueAt - this.#timer.now()));
      await next.action();
    }
    await this.#timer.advance(target - this.#timer.now());
  }

  /** The earliest item up to `target`, also one that was added meanwhile. */
  #dequeueDue(target: number): ScheduledAction | undefined {
    const [first] = this.#items
      .filter(({ dueAt }) => dueAt <= target)
      .sort((left, right) =>
        left.dueAt - right.dueAt || left.order - right.order
      );
    this.#items = this.#items.filter((item) => item !== first);
    return first;
  }
}

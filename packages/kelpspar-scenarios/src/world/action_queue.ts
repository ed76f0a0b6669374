import type { ManualTimer } from "kelpspar-shared";

interface ScheduledAction {
  readonly dueAt: number;
  readonly order: number;
  readonly action: () => void | Promise<void>;
}

/** Runs the actions that a scenario scheduled as time advances. */
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

  /** Advances time; each action completes before time advances further. */
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

  /**
   * Removes and returns the earliest action due by `target`, including actions
   * that were added in the meantime.
   */
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

import type { TimerService } from "./timer_service.ts";

interface PendingTimer {
  readonly order: number;
  readonly dueAt: number;
  readonly intervalMilliseconds: number | undefined;
  readonly listener: () => void;
}

const SETTLE_EVENT_LOOP_TURNS = 12;

/**
 * A timer service whose time advances only when a test requests it. Timers fire
 * in the order of their due times, and those due at the same time in the order
 * of their registration, so that every run of a test has the same sequence.
 */
export class ManualTimer implements TimerService {
  #now: number;
  #nextOrder = 0;
  #pendingTimers = new Map<number, PendingTimer>();

  constructor(options: { readonly startAt?: number } = {}) {
    this.#now = options.startAt ?? 0;
  }

  now(): number {
    return this.#now;
  }

  wallClock(): number {
    return this.#now;
  }

  registerTimeout(listener: () => void, milliseconds: number): () => void {
    return this.#register(listener, {
      delayMilliseconds: milliseconds,
      intervalMilliseconds: undefined,
    });
  }

  registerInterval(listener: () => void, milliseconds: number): () => void {
    const intervalMilliseconds = Math.max(1, milliseconds);
    return this.#register(listener, {
      delayMilliseconds: intervalMilliseconds,
      intervalMilliseconds,
    });
  }

  /** Runs pending promises and immediates without advancing time. */
  async settle(): Promise<void> {
    for (let turn = 0; turn < SETTLE_EVENT_LOOP_TURNS; turn++) {
      await new Promise<void>((resolve) => setImmediate(resolve));
    }
  }

  /**
   * Advances time, firing each timer that becomes due and settling after it.
   */
  async advance(milliseconds: number): Promise<void> {
    const target = this.#now + milliseconds;
    await this.settle();
    for (;;) {
      const timer = this.#nextDue(target);
      if (timer === undefined) break;
      this.#now = Math.max(this.#now, timer.dueAt);
      this.#fire(timer);
      await this.settle();
    }
    this.#now = target;
  }

  /**
   * Advances time without firing timers, like a paused process that resumes.
   */
  jump(milliseconds: number): void {
    this.#now += milliseconds;
  }

  #register(
    listener: () => void,
    options: {
      readonly delayMilliseconds: number;
      readonly intervalMilliseconds: number | undefined;
    },
  ): () => void {
    const order = this.#nextOrder++;
    const dueAt = this.#now + Math.max(0, options.delayMilliseconds);
    this.#pendingTimers.set(order, {
      order,
      dueAt,
      intervalMilliseconds: options.intervalMilliseconds,
      listener,
    });
    return () => this.#pendingTimers.delete(order);
  }

  #nextDue(target: number): PendingTimer | undefined {
    let next: PendingTimer | undefined;
    for (const timer of this.#pendingTimers.values()) {
      if (timer.dueAt > target) continue;
      if (next === undefined || timer.dueAt < next.dueAt) next = timer;
    }
    return next;
  }

  #fire(timer: PendingTimer): void {
    this.#pendingTimers.delete(timer.order);
    if (timer.intervalMilliseconds !== undefined) {
      const dueAt = this.#now + timer.intervalMilliseconds;
      this.#pendingTimers.set(timer.order, { ...timer, dueAt });
    }
    timer.listener();
  }
}

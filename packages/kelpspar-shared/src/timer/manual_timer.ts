import type { TimerService } from "./timer_service.ts";

interface Alarm {
  readonly order: number;
  readonly dueAt: number;
  readonly every: number | undefined;
  readonly listener: () => void;
}

const TURNS_TO_SETTLE = 12;

/**
 * A timer service whose time passes only when a test says so. Alarms fire in
 * the order of their due times, those of one time in the order they were set,
 * so that every run of a test sees the same sequence.
 */
export class ManualTimer implements TimerService {
  #now: number;
  #nextOrder = 0;
  #alarms = new Map<number, Alarm>();

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
    return this.#register(listener, { delay: milliseconds, every: undefined });
  }

  registerInterval(listener: () => void, milliseconds: number): () => void {
    const every = Math.max(1, milliseconds);
    return this.#register(listener, { delay: every, every });
  }

  /** Lets pending promises and immediates run without time passing. */
  async settle(): Promise<void> {
    for (let turn = 0; turn < TURNS_TO_SETTLE; turn++) {
      await new Promise<void>((resolve) => setImmediate(resolve));
    }
  }

  /** Moves time on, firing each alarm that falls due and settling after it. */
  async advance(milliseconds: number): Promise<void> {
    const target = this.#now + milliseconds;
    await this.settle();
    for (;;) {
      const alarm = this.#nextDue(target);
      if (alarm === undefined) break;
      this.#now = Math.max(this.#now, alarm.dueAt);
      this.#fire(alarm);
      await this.settle();
    }
    this.#now = target;
  }

  /** Moves time on at once, firing nothing: a paused process that wakes. */
  jump(milliseconds: number): void {
    this.#now += milliseconds;
  }

  #register(
    listener: () => void,
    options: { readonly delay: number; readonly every: number | undefined },
  ): () => void {
    const order = this.#nextOrder++;
    const dueAt = this.#now + Math.max(0, options.delay);
    this.#alarms.set(order, { order, dueAt, every: options.every, listener });
    return () => this.#alarms.delete(order);
  }

  #nextDue(target: number): Alarm | undefined {
    let next: Alarm | undefined;
    for (const alarm of this.#alarms.values()) {
      if (alarm.dueAt > target) continue;
      if (next === undefined || alarm.dueAt < next.dueAt) next = alarm;
    }
    return next;
  }

  #fire(alarm: Alarm): void {
    this.#alarms.delete(alarm.order);
    if (alarm.every !== undefined) {
      const dueAt = this.#now + alarm.every;
      this.#alarms.set(alarm.order, { ...alarm, dueAt });
    }
    alarm.listener();
  }
}

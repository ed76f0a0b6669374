import { ManualTimer } from "kelpspar-shared";

/** Each message of a chain of nact messages takes one event loop turn. */
const TURNS_TO_SETTLE = 3;

interface PendingTimeout {
  readonly listener: () => void;
}

interface Instant {
  /** In registration order. */
  readonly timeouts: Set<PendingTimeout>;
  readonly stop: () => void;
}

/**
 * A manual timer optimized for worlds with hundreds of timeouts per second:
 * timeouts due at the same instant fire together, in registration order, and
 * fewer event loop turns run between two instants, because nothing here waits
 * for a socket.
 */
export class WorldTimer extends ManualTimer {
  readonly #instants = new Map<number, Instant>();

  override registerTimeout(
    listener: () => void,
    milliseconds: number,
  ): () => void {
    const dueAt = this.now() + Math.max(0, milliseconds);
    const timeout: PendingTimeout = { listener };
    const instant = this.#instants.get(dueAt) ?? this.#createInstant(dueAt);
    instant.timeouts.add(timeout);
    return () => this.#cancel(dueAt, { instant, timeout });
  }

  override registerInterval(
    listener: () => void,
    milliseconds: number,
  ): () => void {
    let stop = (): void => {};
    const schedule = (): void => {
      stop = this.registerTimeout(() => {
        schedule();
        listener();
      }, milliseconds);
    };
    schedule();
    return () => stop();
  }

  override async settle(): Promise<void> {
    for (let turn = 0; turn < TURNS_TO_SETTLE; turn++) {
      await new Promise<void>((resolve) => setImmediate(resolve));
    }
  }

  #createInstant(dueAt: number): Instant {
    const stop = super.registerTimeout(
      () => this.#fire(dueAt),
      dueAt - this.now(),
    );
    const instant: Instant = { timeouts: new Set(), stop };
    this.#instants.set(dueAt, instant);
    return instant;
  }

  #cancel(dueAt: number, registration: {
    readonly instant: Instant;
    readonly timeout: PendingTimeout;
  }): void {
    const { instant, timeout } = registration;
    instant.timeouts.delete(timeout);
    if (instant.timeouts.size > 0) return;
    if (this.#instants.get(dueAt) !== instant) return;
    this.#instants.delete(dueAt);
    instant.stop();
  }

  #fire(dueAt: number): void {
    const instant = this.#instants.get(dueAt);
    this.#instants.delete(dueAt);
    for (const { listener } of instant?.timeouts ?? []) listener();
  }
}

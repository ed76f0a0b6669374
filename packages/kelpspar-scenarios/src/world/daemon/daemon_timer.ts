import type { ManualTimer, TimerService } from "kelpspar-shared";

interface PendingTimeout {
  readonly dueAt: number;
  readonly listener: () => void;
  isCancelled: boolean;
}

/**
 * One daemon's view of the world's time. Timeouts that become due while the
 * daemon is paused fire when it resumes. Its clock continues meanwhile, as for a
 * process that the operating system suspended.
 */
export class DaemonTimer implements TimerService {
  readonly #base: ManualTimer;
  #state: "running" | "paused" | "dead" = "running";
  #dueWhilePaused: PendingTimeout[] = [];

  constructor(base: ManualTimer) {
    this.#base = base;
  }

  now(): number {
    return this.#base.now();
  }

  wallClock(): number {
    return this.#base.wallClock();
  }

  registerTimeout(listener: () => void, milliseconds: number): () => void {
    const dueAt = this.#base.now() + Math.max(0, milliseconds);
    const timeout: PendingTimeout = { dueAt, listener, isCancelled: false };
    const unregister = this.#base.registerTimeout(
      () => this.#fire(timeout),
      milliseconds,
    );
    return () => {
      timeout.isCancelled = true;
      unregister();
    };
  }

  registerInterval(listener: () => void, milliseconds: number): () => void {
    let unregister = (): void => {};
    const schedule = (): void => {
      unregister = this.registerTimeout(() => {
        schedule();
        listener();
      }, milliseconds);
    };
    schedule();
    return () => unregister();
  }

  pause(): void {
    this.#state = "paused";
  }

  /** Fires the timeouts that became due during the pause, earliest first. */
  async resume(): Promise<void> {
    this.#state = "running";
    const due = this.#dueWhilePaused.sort((left, right) =>
      left.dueAt - right.dueAt
    );
    this.#dueWhilePaused = [];
    for (const timeout of due) {
      if (!timeout.isCancelled) timeout.listener();
      // Promise callbacks run between two timeouts, but no message arrives.
      await new Promise<void>((resolve) => setImmediate(resolve));
    }
  }

  /** Discards all timeouts; none fires afterwards. */
  stop(): void {
    this.#state = "dead";
    this.#dueWhilePaused = [];
  }

  #fire(timeout: PendingTimeout): void {
    if (this.#state === "dead") return;
    if (this.#state === "paused") this.#dueWhilePaused.push(timeout);
    else timeout.listener();
  }
}

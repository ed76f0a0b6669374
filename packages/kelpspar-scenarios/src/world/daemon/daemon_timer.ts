import type { ManualTimer, TimerService } from "kelpspar-shared";

interface Alarm {
  readonly dueAt: number;
  readonly listener: () => void;
  isCancelled: boolean;
}

/**
 * One daemon's view of the world's time. While the daemon is paused its alarms
 * are held; they all fire when it wakes, and its clock has gone on, as with a
 * process that the operating system stopped for a while.
 */
export class DaemonTimer implements TimerService {
  readonly #base: ManualTimer;
  #state: "running" | "paused" | "dead" = "running";
  #held: Alarm[] = [];

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
    const alarm: Alarm = { dueAt, listener, isCancelled: false };
    const stop = this.#base.registerTimeout(
      () => this.#fire(alarm),
      milliseconds,
    );
    return () => {
      alarm.isCancelled = true;
      stop();
    };
  }

  registerInterval(listener: () => void, milliseconds: number): () => void {
    let stop = (): void => {};
    const arm = (): void => {
      stop = this.registerTimeout(() => {
        arm();
        listener();
      }, milliseconds);
    };
    arm();
    return () => stop();
  }

  pause(): void {
    this.#state = "paused";
  }

  /** Fires what fell due meanwhile, earliest first. */
  async resume(): Promise<void> {
    this.#state = "running";
    const held = this.#held.sort((left, right) => left.dueAt - right.dueAt);
    this.#held = [];
    for (const alarm of held) {
      if (!alarm.isCancelled) alarm.listener();
      // Promises run between two alarms, but nothing arrives.
      await new Promise<void>((resolve) => setImmediate(resolve));
    }
  }

  /** Nothing fires any more. */
  stop(): void {
    this.#state = "dead";
    this.#held = [];
  }

  #fire(alarm: Alarm): void {
    if (this.#state === "dead") return;
    if (this.#state === "paused") this.#held.push(alarm);
    else alarm.listener();
  }
}

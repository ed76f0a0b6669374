import type { ManualTimer } from "kelpspar-shared";
import { DaemonTimer } from "./daemon_timer.ts";

/** What can be told of a process from outside. */
export type ProcessState = "running" | "paused" | "dead";

/**
 * A daemon's process as the world sees it: what arrives waits while it is
 * paused, and never arrives once it is dead.
 */
export class DaemonProcess {
  readonly timer: DaemonTimer;
  readonly #deathListeners = new Set<() => void>();
  #state: ProcessState = "running";
  #resumeListeners: (() => void)[] = [];

  constructor(base: ManualTimer) {
    this.timer = new DaemonTimer(base);
  }

  get state(): ProcessState {
    return this.#state;
  }

  /** Resolves when the process can take something in; never once it is dead. */
  whenRunning(): Promise<void> {
    if (this.#state === "running") return Promise.resolve();
    return new Promise((resolve) => {
      if (this.#state === "paused") this.#resumeListeners.push(resolve);
    });
  }

  /** Hands an answer from outside to the process. */
  async receive<Value>(pending: Promise<Value>): Promise<Value> {
    try {
      const value = await pending;
      await this.whenRunning();
      return value;
    } catch (thrown) {
      await this.whenRunning();
      throw thrown;
    }
  }

  pause(): void {
    if (this.#state !== "running") return;
    this.#state = "paused";
    this.timer.pause();
  }

  /**
   * Wakes it. A process that was stopped while it waited for its connections
   * takes in what arrived before it looks at its alarms; one that was stopped
   * elsewhere may look at its alarms first.
   */
  async resume(first: "arrivals" | "alarms"): Promise<void> {
    if (this.#state !== "paused") return;
    this.#state = "running";
    if (first === "alarms") await this.timer.resume();
    const waiting = this.#resumeListeners;
    this.#resumeListeners = [];
    for (const resolve of waiting) {
      resolve();
      // Promises run between two arrivals, and nothing else.
      await new Promise<void>((done) => setImmediate(done));
    }
    if (first === "arrivals") await this.timer.resume();
  }

  die(): void {
    this.#state = "dead";
    this.#resumeListeners = [];
    this.timer.stop();
    for (const listener of this.#deathListeners) listener();
    this.#deathListeners.clear();
  }

  /** Tells `listener` of the process's death; returns the teardown. */
  registerDeathListener(listener: () => void): () => void {
    this.#deathListeners.add(listener);
    return () => this.#deathListeners.delete(listener);
  }
}

import type { ManualTimer } from "kelpspar-shared";
import { DaemonTimer } from "./daemon_timer.ts";

/** The state of a process as seen from outside. */
export type ProcessState = "running" | "paused" | "dead";

/**
 * A simulated daemon process. Messages that arrive while it is paused are
 * delivered when it resumes; messages to a dead process are never delivered.
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

  /** Resolves when the process is running; never resolves once it is dead. */
  whenRunning(): Promise<void> {
    if (this.#state === "running") return Promise.resolve();
    return new Promise((resolve) => {
      if (this.#state === "paused") this.#resumeListeners.push(resolve);
    });
  }

  /** Settles like `pending`, but only while the process is running. */
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
   * Resumes the process. A process that was stopped while it polled its
   * connections handles the arrivals before its timers; one that was stopped
   * elsewhere may handle its timers first.
   */
  async resume(first: "arrivals" | "alarms"): Promise<void> {
    if (this.#state !== "paused") return;
    this.#state = "running";
    if (first === "alarms") await this.timer.resume();
    const waiting = this.#resumeListeners;
    this.#resumeListeners = [];
    for (const resolve of waiting) {
      resolve();
      // Only promise callbacks run between two arrivals.
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

  /** Calls `listener` when the process dies; returns the teardown. */
  registerDeathListener(listener: () => void): () => void {
    this.#deathListeners.add(listener);
    return () => this.#deathListeners.delete(listener);
  }
}

import type { TimerService } from "kelpspar-shared";
import type { EngineSettings } from "../endpoint_settings.ts";
import type { Attempt } from "./attempt.ts";

/** Dependencies and callbacks of a batch. */
export interface BatchOptions {
  readonly timer: TimerService;
  readonly settings: EngineSettings;
  /** Returns the current factor on the time of each step. */
  readonly slowFactor: () => number;
  /** Called when an attempt starts to run. */
  readonly onStarted: (attempt: Attempt) => void;
  /** Called when an attempt has ended and was removed from the batch. */
  readonly onEnded: (attempt: Attempt) => void;
}

/**
 * Continuous batching: each step advances all running attempts by one token
 * and takes longer with more attempts. Waiting attempts are admitted between
 * steps, in the order of their priority.
 */
export class Batch {
  readonly #options: BatchOptions;
  readonly #waiting: Attempt[] = [];
  #running: Attempt[] = [];
  #stopTimer: (() => void) | undefined;

  constructor(options: BatchOptions) {
    this.#options = options;
  }

  get running(): readonly Attempt[] {
    return this.#running;
  }

  get waiting(): readonly Attempt[] {
    return this.#waiting;
  }

  /** Whether the batch accepts no further attempt. */
  get isFull(): boolean {
    const { maximumBatch, maximumWaiting } = this.#options.settings;
    const count = this.#running.length + this.#waiting.length;
    return count >= maximumBatch + maximumWaiting;
  }

  get isEmpty(): boolean {
    return this.#running.length + this.#waiting.length === 0;
  }

  /** Number of tokens left to read and to generate. */
  get queuedTokens(): number {
    return [...this.#running, ...this.#waiting].reduce(
      (sum, attempt) => sum + attempt.queuedTokens,
      0,
    );
  }

  add(attempt: Attempt): void {
    const { priority } = attempt.call;
    const index = this.#waiting.findIndex(({ call }) =>
      call.priority > priority
    );
    this.#waiting.splice(index < 0 ? this.#waiting.length : index, 0, attempt);
    if (this.#stopTimer === undefined) this.#beginStep();
  }

  /** Removes an attempt that was ended from outside. */
  remove(attempt: Attempt): void {
    const index = this.#waiting.indexOf(attempt);
    if (index >= 0) this.#waiting.splice(index, 1);
    this.#running = this.#running.filter((other) => other !== attempt);
  }

  close(): void {
    this.#stopTimer?.();
    this.#stopTimer = undefined;
    this.#running = [];
    this.#waiting.length = 0;
  }

  #beginStep(): void {
    this.#admit();
    const count = this.#running.length;
    this.#stopTimer = undefined;
    if (count === 0) return;
    const { settings, timer, slowFactor } = this.#options;
    const milliseconds = slowFactor() *
      (settings.stepMilliseconds + settings.stepPerCallMilliseconds * count);
    this.#stopTimer = timer.registerTimeout(() => {
      this.#finishStep(milliseconds);
      this.#beginStep();
    }, milliseconds);
  }

  #admit(): void {
    while (this.#running.length < this.#options.settings.maximumBatch) {
      const next = this.#waiting.shift();
      if (next === undefined) return;
      this.#running.push(next);
      next.started = true;
      this.#options.onStarted(next);
    }
  }

  /** Charges each call its share of the step, so that costs sum up to time. */
  #finishStep(milliseconds: number): void {
    const batch = this.#running;
    for (const attempt of batch) {
      attempt.runnerMilliseconds += milliseconds / batch.length;
      if (attempt.prefillMilliseconds > 0) {
        attempt.prefillMilliseconds -= milliseconds;
      } else attempt.step();
    }
    this.#running = batch.filter(({ end }) => end === undefined);
    for (const attempt of batch) {
      if (attempt.end !== undefined) this.#options.onEnded(attempt);
    }
  }
}

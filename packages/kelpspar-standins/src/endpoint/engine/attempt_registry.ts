import type { StageCall, TimerService } from "kelpspar-shared";
import type { Attempt } from "./attempt.ts";

/** How attempts are kept. */
export interface AttemptRegistryOptions {
  readonly timer: TimerService;
  /** How long an attempt lives without a connection, milliseconds. */
  readonly graceMilliseconds: number;
  /** Called when an attempt's grace time is over, before it is forgotten. */
  readonly onExpired: (attempt: Attempt) => void;
  /** Called after an attempt was forgotten. */
  readonly onForgotten: () => void;
}

/** The attempts that can be cancelled or taken up again. */
export class AttemptRegistry {
  readonly #options: AttemptRegistryOptions;
  /** By the id of the call that last carried each. */
  readonly #attempts = new Map<string, Attempt>();

  constructor(options: AttemptRegistryOptions) {
    this.#options = options;
  }

  get isEmpty(): boolean {
    return this.#attempts.size === 0;
  }

  get attempts(): readonly Attempt[] {
    return [...this.#attempts.values()];
  }

  add(attemptId: string, attempt: Attempt): void {
    this.#attempts.set(attemptId, attempt);
  }

  get(attemptId: string): Attempt | undefined {
    return this.#attempts.get(attemptId);
  }

  /** The attempt that `call` resumes, from now on under the call's id. */
  rename(call: StageCall): Attempt | undefined {
    const earlier = call.resumeAttemptId ?? "";
    const attempt = this.#attempts.get(earlier);
    if (attempt?.call.requestId !== call.requestId) return undefined;
    this.#attempts.delete(earlier);
    this.#attempts.set(call.attemptId, attempt);
    return attempt;
  }

  /**
   * Keeps an attempt that lost its connection, or that ended, for a while:
   * the end may have been sent into a connection that had gone silent.
   */
  startGrace(attempt: Attempt): void {
    attempt.stopGrace();
    attempt.stopGrace = this.#options.timer.registerTimeout(() => {
      this.#options.onExpired(attempt);
      attempt.stopGrace();
      this.#forget(attempt);
    }, this.#options.graceMilliseconds);
  }

  close(): void {
    for (const { stopGrace } of this.#attempts.values()) stopGrace();
    this.#attempts.clear();
  }

  #forget(attempt: Attempt): void {
    for (const [attemptId, other] of this.#attempts) {
      if (other === attempt) this.#attempts.delete(attemptId);
    }
    this.#options.onForgotten();
  }
}

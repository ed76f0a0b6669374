import type { StageCall, TimerService } from "kelpspar-shared";
import type { Attempt } from "./attempt.ts";

/** Retention of attempts. */
export interface AttemptRegistryOptions {
  readonly timer: TimerService;
  /** Time that an attempt is kept without a connection, milliseconds. */
  readonly graceMilliseconds: number;
  /** Called when an attempt's grace period ends, before its removal. */
  readonly onExpired: (attempt: Attempt) => void;
  /** Called after an attempt was removed. */
  readonly onRemoved: () => void;
}

/** The attempts that can be cancelled or resumed. */
export class AttemptRegistry {
  readonly #options: AttemptRegistryOptions;
  /** By the attempt id of the latest call. */
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

  /** Finds the attempt that `call` resumes and moves it to the call's id. */
  transferTo(call: StageCall): Attempt | undefined {
    const previousId = call.resumeAttemptId ?? "";
    const attempt = this.#attempts.get(previousId);
    if (attempt?.call.requestId !== call.requestId) return undefined;
    this.#attempts.delete(previousId);
    this.#attempts.set(call.attemptId, attempt);
    return attempt;
  }

  /**
   * Keeps a disconnected or ended attempt for the grace period: its final
   * record may have been sent over a connection that had gone silent.
   */
  startGracePeriod(attempt: Attempt): void {
    attempt.stopGrace();
    attempt.stopGrace = this.#options.timer.registerTimeout(() => {
      this.#options.onExpired(attempt);
      attempt.stopGrace();
      this.#remove(attempt);
    }, this.#options.graceMilliseconds);
  }

  close(): void {
    for (const { stopGrace } of this.#attempts.values()) stopGrace();
    this.#attempts.clear();
  }

  #remove(attempt: Attempt): void {
    for (const [attemptId, other] of this.#attempts) {
      if (other === attempt) this.#attempts.delete(attemptId);
    }
    this.#options.onRemoved();
  }
}

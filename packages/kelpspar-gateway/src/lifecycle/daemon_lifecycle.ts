import type { TimerService } from "kelpspar-shared";
import type { DaemonPhase } from "./daemon_phase.ts";
import type { PhasePolicy } from "./phase_policy.ts";
import { listensUntil, nextPhase } from "./next_phase.ts";
import { PHASE_POLICIES } from "./phase_policy.ts";

/** Open requests are given up this long before the process is killed, ms. */
const STOP_MARGIN_MILLISECONDS = 350;
const CHECK_INTERVAL_MILLISECONDS = 50;

/** Dependencies of a `DaemonLifecycle`. */
export interface DaemonLifecycleOptions {
  readonly timer: TimerService;
  /** Time from the stop signal until the process is killed. */
  readonly graceMilliseconds: number;
}

/** What a stopping daemon does, and who replaces it. */
export interface StopWatch {
  /** True while requests or stages of other daemons are in progress. */
  readonly isBusy: () => boolean;
  /** Whether another daemon serves callers. */
  readonly isReplaced: () => boolean;
}

/** Called when a daemon has entered a phase. */
export type PhaseListener = (phase: DaemonPhase) => void;

/** The phase of a daemon, which decides what it accepts and reports. */
export class DaemonLifecycle {
  readonly #options: DaemonLifecycleOptions;
  readonly #listeners = new Set<PhaseListener>();
  #phase: DaemonPhase = "serving";
  #stopRequestedAt: number | undefined;
  #replacedSince: number | undefined;
  #admittedAt = Number.NEGATIVE_INFINITY;

  constructor(options: DaemonLifecycleOptions) {
    this.#options = options;
  }

  get phase(): DaemonPhase {
    return this.#phase;
  }

  get policy(): PhasePolicy {
    return PHASE_POLICIES[this.#phase];
  }

  /** When the daemon was told to stop; monotonic milliseconds. */
  get stopRequestedAt(): number | undefined {
    return this.#stopRequestedAt;
  }

  /** Milliseconds until open requests are given up; infinite while serving. */
  get remainingMilliseconds(): number {
    if (this.#stopRequestedAt === undefined) return Number.POSITIVE_INFINITY;
    if (this.policy.admission === "none") return 0;
    return this.remainingAfterStop(this.#stopRequestedAt);
  }

  /**
   * Milliseconds until a daemon that was told to stop at `stopRequestedAt` gives
   * its open requests up. All daemons have the same grace period.
   */
  remainingAfterStop(stopRequestedAt: number): number {
    const now = this.#options.timer.now();
    return Math.max(0, this.#endsAt(stopRequestedAt) - now);
  }

  /** Milliseconds until a daemon without requests ends; 0 while serving. */
  get minimumMilliseconds(): number {
    const { timer, graceMilliseconds } = this.#options;
    const stopRequestedAt = this.#stopRequestedAt;
    if (stopRequestedAt === undefined) return 0;
    const until = listensUntil({ stopRequestedAt, graceMilliseconds });
    return Math.max(0, until - timer.now());
  }

  /** Records that a request was accepted. */
  recordAdmission(): void {
    this.#admittedAt = this.#options.timer.now();
  }

  /** Adds a listener; returns the teardown. */
  registerListener(listener: PhaseListener): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /** Leads the daemon through the phases of its end; resolves in the last one. */
  stop({ isBusy, isReplaced }: StopWatch): Promise<void> {
    const { timer, graceMilliseconds } = this.#options;
    const stopRequestedAt = timer.now();
    this.#stopRequestedAt = stopRequestedAt;
    this.#enter("leaving");
    this.#updateReplacement(isReplaced());
    return new Promise((resolve) => {
      const stopChecks = timer.registerInterval(() => {
        this.#updateReplacement(isReplaced());
        const phase = nextPhase({
          phase: this.#phase,
          now: timer.now(),
          stopRequestedAt,
          graceMilliseconds,
          endsAt: this.#endsAt(stopRequestedAt),
          isBusy: isBusy(),
          replacedSince: this.#replacedSince,
          admittedAt: this.#admittedAt,
        });
        if (phase !== this.#phase) this.#enter(phase);
        if (phase !== "ending") return;
        stopChecks();
        resolve();
      }, CHECK_INTERVAL_MILLISECONDS);
    });
  }

  #endsAt(stopRequestedAt: number): number {
    return stopRequestedAt + this.#options.graceMilliseconds -
      STOP_MARGIN_MILLISECONDS;
  }

  #updateReplacement(isReplaced: boolean): void {
    if (!isReplaced) this.#replacedSince = undefined;
    else this.#replacedSince ??= this.#options.timer.now();
  }

  #enter(phase: DaemonPhase): void {
    this.#phase = phase;
    for (const listener of this.#listeners) listener(phase);
  }
}

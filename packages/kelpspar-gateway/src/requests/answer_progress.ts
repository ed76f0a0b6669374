import type { RequestRun } from "./request_run.ts";

/**
 * An answer that goes on this long after its first event shows that its endpoint
 * answers on the parts of its prompt. Longer than the time within which a crash
 * is blamed on them.
 */
const SOUND_AFTER_MILLISECONDS = 400;

/** Observes how long one endpoint writes events of a stream. */
export class AnswerProgress {
  readonly #run: RequestRun;
  readonly #onSound: (firstEventAt: number) => void;
  /** Whether the answer went on for long enough. */
  isSound = false;
  /** When the first event arrived, monotonic milliseconds. */
  firstEventAt: number | undefined;

  constructor(run: RequestRun, onSound: (firstEventAt: number) => void) {
    this.#run = run;
    this.#onSound = onSound;
  }

  /** To be called when events arrive. */
  advance(): void {
    if (this.isSound) return;
    const now = this.#run.now();
    this.firstEventAt ??= now;
    if (now - this.firstEventAt < SOUND_AFTER_MILLISECONDS) return;
    this.isSound = true;
    this.#onSound(this.firstEventAt);
  }
}

import type { RequestRun } from "./request_run.ts";
import { MINIMUM_SOUND_MILLISECONDS } from "kelpspar-decisions/quarantine";

/** Called with the time for which an answer has written events so far. */
export type AnswerProgressListener = (
  wroteMilliseconds: number,
  /** Whether it is the first call. */
  isNew: boolean,
) => void;

/**
 * Observes how long one endpoint writes events of a stream, which is reported
 * each time that it has doubled.
 */
export class AnswerProgress {
  readonly #run: RequestRun;
  readonly #onSound: AnswerProgressListener;
  #reportAfter = MINIMUM_SOUND_MILLISECONDS;
  #firstEventAt: number | undefined;
  #lastEventAt: number | undefined;

  constructor(run: RequestRun, onSound: AnswerProgressListener) {
    this.#run = run;
    this.#onSound = onSound;
  }

  /** Whether the answer has written for long enough to prove anything. */
  get isSound(): boolean {
    return this.#reportAfter > MINIMUM_SOUND_MILLISECONDS;
  }

  /** When the first event arrived, monotonic milliseconds. */
  get firstEventAt(): number | undefined {
    return this.#firstEventAt;
  }

  /** When the last events so far arrived, monotonic milliseconds. */
  get lastEventAt(): number | undefined {
    return this.#lastEventAt;
  }

  /** To be called when events arrive. */
  advance(): void {
    const now = this.#run.now();
    this.#firstEventAt ??= now;
    this.#lastEventAt = now;
    const wrote = now - this.#firstEventAt;
    if (wrote < this.#reportAfter) return;
    const isNew = !this.isSound;
    while (this.#reportAfter <= wrote) this.#reportAfter *= 2;
    this.#onSound(wrote, isNew);
  }
}

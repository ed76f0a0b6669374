import type { RequestRun } from "./request_run.ts";
import { NARROW_WINDOW, WIDE_WINDOW } from "kelpspar-decisions/quarantine";

/** Called with the time for which an answer has written events so far. */
export type AnswerProgressListener = (
  wroteMilliseconds: number,
  /** Whether it is the first call. */
  isNew: boolean,
) => void;

/** Times after which an answer that goes on disproves the blame of a window. */
const SOUND_AFTER_MILLISECONDS = [NARROW_WINDOW, WIDE_WINDOW]
  .map(({ soundAfterMilliseconds }) => soundAfterMilliseconds);

/** Observes how long one endpoint writes events of a stream. */
export class AnswerProgress {
  readonly #run: RequestRun;
  readonly #onSound: AnswerProgressListener;
  readonly #pending = [...SOUND_AFTER_MILLISECONDS];
  #firstEventAt: number | undefined;
  #lastEventAt: number | undefined;

  constructor(run: RequestRun, onSound: AnswerProgressListener) {
    this.#run = run;
    this.#onSound = onSound;
  }

  /** Whether the answer has written for long enough to prove anything. */
  get isSound(): boolean {
    return this.#pending.length < SOUND_AFTER_MILLISECONDS.length;
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
    for (;;) {
      const [next] = this.#pending;
      if (next === undefined || wrote < next) return;
      const isNew = !this.isSound;
      this.#pending.shift();
      this.#onSound(wrote, isNew);
    }
  }
}

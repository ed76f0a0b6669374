import type { CrashReport, SoundAnswer } from "kelpspar-decisions/quarantine";
import { AnsweredParts } from "./answered_parts.ts";

/** How many of the latest answers make a part common. */
const COMMON_ANSWERS = 10;
/** The same while they are half of all, as at a daemon that has just started. */
const MINIMUM_COMMON_ANSWERS = 3;
const COMMON_SHARE = 0.5;

/** What this daemon knows of parts before endpoints crash on them. */
export class KnownParts {
  /** Of answers that have written events for a while. */
  readonly #begun = new AnsweredParts();
  /** Of answers that ended whole. */
  readonly #sound = new AnsweredParts();

  /** Remembers an answer, `isNew` if it is recorded for the first time. */
  record(answer: SoundAnswer, { isNew, now }: {
    readonly isNew: boolean;
    /** Monotonic milliseconds. */
    readonly now: number;
  }): void {
    if (isNew) this.#begun.add(answer.parts, now);
    // An endpoint may crash after the answer has written for a while.
    const isWhole = answer.wroteMilliseconds === undefined;
    if (isWhole) this.#sound.add(answer.parts, now);
  }

  /** Adds what is known of the parts to the report of a crash. */
  describe(report: CrashReport, now: number): CrashReport {
    const { parts = [] } = report;
    const commonParts = parts.filter((part) => this.#isCommon(part, now));
    const soundParts = parts.filter((part) =>
      this.#sound.countOf(part, now) > 0
    );
    return {
      ...report,
      ...(commonParts.length === 0 ? {} : { commonParts }),
      ...(soundParts.length === 0 ? {} : { soundParts }),
    };
  }

  /** Such a part is at most crashes whatever causes them. */
  #isCommon(part: string, now: number): boolean {
    const count = this.#begun.countOf(part, now);
    const isUsual = count >= MINIMUM_COMMON_ANSWERS &&
      count >= COMMON_SHARE * this.#begun.size(now);
    return isUsual || count >= COMMON_ANSWERS;
  }
}

import type { ClearedPart, OngoingAnswer } from "./crash_page.ts";
import type { TimedCrashReport } from "./crash_report.ts";
import type { PartTrial, PartTrials } from "./part_trials.ts";
import { answerAge } from "./answer_age.ts";
import { CountedIds } from "./counted_ids.ts";
import { soundAfter } from "./crash_weight.ts";
import { compareTrials, createTrial } from "./part_trials.ts";
import { reportKey } from "./report_key.ts";

interface CrashEvidence {
  /** The requests with the part that were at the crash. */
  readonly reports: Set<TimedCrashReport>;
  trial: PartTrial;
  /** Whether an answer that ended whole cleared the part. */
  isCleared: boolean;
  /** Answers that cleared it before their end, by `ongoingKey`. */
  readonly ongoing: Map<string, OngoingAnswer>;
}

/**
 * What crash reports say about each part of a prompt, updated report by report.
 * A part is cleared of a crash for as long as one of its reports is kept.
 */
export class PartEvidence {
  readonly #evidence = new Map<string, Map<string, CrashEvidence>>();
  readonly #trials = new Map<string, readonly PartTrial[]>();
  /** The same with those that only answers which go on cleared. */
  readonly #unsettled = new Map<string, readonly PartTrial[]>();
  readonly #reports = new Map<string, TimedCrashReport>();
  /** Numbers of parts that answers which ended whole cleared, by crash. */
  readonly #answered = new CountedIds();
  /** By part, the longest age of an answer that cleared it and then crashed. */
  readonly #longestCrashed = new Map<string, number>();

  /** Trials of the parts that have some, without those that were cleared. */
  get trials(): PartTrials {
    return this.#trials;
  }

  /** Crashes after which an answer on some part ended whole. */
  get answeredCrashes(): Pick<ReadonlySet<string>, "has"> {
    return this.#answered.ids;
  }

  /** True while an answer could clear a part. */
  get hasUnsettled(): boolean {
    return this.#unsettled.size > 0;
  }

  /** Crashes that a part is blamed for, or was before it was cleared of them. */
  crashesOf(part: string): readonly string[] {
    return [...this.#evidence.get(part)?.keys() ?? []];
  }

  /** Adds a report, unless its answer has no known age. */
  add(report: TimedCrashReport): void {
    if (answerAge(report) === undefined) return;
    this.#reports.set(reportKey(report), report);
    for (const part of new Set(report.parts)) {
      const crashes = this.#evidence.get(part) ??
        new Map<string, CrashEvidence>();
      this.#evidence.set(part, crashes);
      const found = crashes.get(report.crash);
      if (found === undefined) {
        crashes.set(report.crash, {
          reports: new Set([report]),
          trial: createTrial(report.crash, [report]),
          isCleared: false,
          ongoing: new Map(),
        });
      } else {
        found.reports.add(report);
        found.trial = createTrial(report.crash, [...found.reports]);
      }
      this.#updateTrials(part);
    }
  }

  /** Removes a report; returns clearances that ended with it. */
  remove(report: TimedCrashReport): readonly ClearedPart[] {
    const { crash } = report;
    const key = reportKey(report);
    if (this.#reports.get(key) === report) this.#reports.delete(key);
    const ended: ClearedPart[] = [];
    for (const part of new Set(report.parts)) {
      const crashes = this.#evidence.get(part);
      const found = crashes?.get(crash);
      if (crashes === undefined || found === undefined) continue;
      found.reports.delete(report);
      if (found.reports.size === 0) {
        crashes.delete(crash);
        if (found.isCleared) this.#answered.remove([crash]);
        ended.push(...listCleared(part, crash, found));
        if (crashes.size === 0) this.#evidence.delete(part);
      } else found.trial = createTrial(crash, [...found.reports]);
      this.#updateTrials(part);
    }
    return ended;
  }

  /** Clears a part of a crash; returns false if that is known or unneeded. */
  clear({ part, crash, by }: ClearedPart): boolean {
    const found = this.#evidence.get(part)?.get(crash);
    if (found === undefined) return false;
    if (by === undefined) {
      if (found.isCleared) return false;
      found.isCleared = true;
      this.#answered.add([crash]);
    } else {
      const key = ongoingKey(by);
      if (found.ongoing.has(key)) return false;
      found.ongoing.set(key, by);
    }
    this.#updateTrials(part);
    return true;
  }

  /** Returns the parts that were cleared of these crashes. */
  clearedOf(reports: readonly TimedCrashReport[]): readonly ClearedPart[] {
    const crashesOf = new Map<string, Set<string>>();
    for (const { crash, parts = [] } of reports) {
      for (const part of parts) {
        const crashes = crashesOf.get(part) ?? new Set();
        crashesOf.set(part, crashes.add(crash));
      }
    }
    return [...crashesOf].flatMap(([part, crashes]) =>
      [...crashes].flatMap((crash) => {
        const found = this.#evidence.get(part)?.get(crash);
        return found === undefined ? [] : listCleared(part, crash, found);
      })
    );
  }

  /**
   * Trials of a part that an answer clears if it began after them: those that
   * it has outlasted, or all that no answer has settled yet if it ended whole.
   */
  listClearable(
    part: string,
    wroteMilliseconds: number | undefined,
  ): readonly PartTrial[] {
    if (wroteMilliseconds === undefined) return this.#unsettled.get(part) ?? [];
    return (this.#trials.get(part) ?? []).filter((trial) =>
      wroteMilliseconds >= this.#soundAfter(part, trial)
    );
  }

  /** For how long an answer on the part must write to clear it of a trial. */
  #soundAfter(part: string, { ageMilliseconds }: PartTrial): number {
    const crashed = this.#longestCrashed.get(part) ?? 0;
    return soundAfter(Math.max(ageMilliseconds, crashed));
  }

  #updateTrials(part: string): void {
    const crashes = this.#evidence.get(part) ??
      new Map<string, CrashEvidence>();
    this.#updateLongestCrashed(part, crashes);
    const unsettled = [...crashes.values()]
      .flatMap(({ isCleared, trial }) => isCleared ? [] : [trial])
      .sort(compareTrials);
    const trials = unsettled.filter((trial) =>
      !this.#isOutlasted(part, trial, crashes.get(trial.crash))
    );
    setOrDelete(this.#unsettled, part, unsettled);
    setOrDelete(this.#trials, part, trials);
  }

  /** Leaves out crashes that an answer which ended whole cleared the part of. */
  #updateLongestCrashed(
    part: string,
    crashes: ReadonlyMap<string, CrashEvidence>,
  ): void {
    const ages: number[] = [];
    for (const { ongoing } of crashes.values()) {
      for (const answer of ongoing.values()) {
        const report = this.#reports.get(reportKey(answer));
        if (report === undefined) continue;
        const isSettled = crashes.get(report.crash)?.isCleared !== false;
        if (!isSettled) ages.push(answerAge(report) ?? 0);
      }
    }
    if (ages.length === 0) this.#longestCrashed.delete(part);
    else this.#longestCrashed.set(part, Math.max(...ages));
  }

  /**
   * Whether an answer outlasted a trial. One that crashed its endpoint since has
   * not, as it doesn't outlast itself.
   */
  #isOutlasted(
    part: string,
    trial: PartTrial,
    found: CrashEvidence | undefined,
  ): boolean {
    const needed = this.#soundAfter(part, trial);
    return [...found?.ongoing.values() ?? []].some(({ wroteMilliseconds }) =>
      wroteMilliseconds >= needed
    );
  }
}

/** Identifies an answer at the moment when it cleared a part. */
export function ongoingKey(answer: OngoingAnswer): string {
  return `${reportKey(answer)} after ${answer.wroteMilliseconds}`;
}

function setOrDelete(
  trials: Map<string, readonly PartTrial[]>,
  part: string,
  found: readonly PartTrial[],
): void {
  if (found.length === 0) trials.delete(part);
  else trials.set(part, found);
}

function listCleared(
  part: string,
  crash: string,
  { isCleared, ongoing }: CrashEvidence,
): readonly ClearedPart[] {
  const whole = isCleared ? [{ part, crash }] : [];
  return [
    ...whole,
    ...[...ongoing.values()].map((by) => ({ part, crash, by })),
  ];
}

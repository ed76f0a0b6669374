import type { ClearedPart } from "./crash_page.ts";
import type { TimedCrashReport } from "./crash_report.ts";
import type { BlameWindow } from "./blame_window.ts";
import type { PartTrial, PartTrials } from "./part_trials.ts";
import { isBlamed } from "./blame_window.ts";
import { compareTrials, createTrial } from "./part_trials.ts";

interface CrashEvidence {
  /** The requests with the part that were at the crash. */
  readonly reports: Set<TimedCrashReport>;
  isCleared: boolean;
}

/**
 * What crash reports say about each part of a prompt, updated report by report.
 * Only answers within the blame window count. A part is cleared of a crash for as long as one of its reports is kept.
 */
export class PartEvidence {
  readonly #window: BlameWindow;
  readonly #evidence = new Map<string, Map<string, CrashEvidence>>();
  readonly #trials = new Map<string, readonly PartTrial[]>();

  constructor(window: BlameWindow) {
    this.#window = window;
  }

  /** Trials of the parts that have some, without those that were cleared. */
  get trials(): PartTrials {
    return this.#trials;
  }

  /** Crashes that a part is blamed for, or was before it was cleared of them. */
  crashesOf(part: string): readonly string[] {
    return [...this.#evidence.get(part)?.keys() ?? []];
  }

  /** Adds a report, unless its answer isn't blamed. */
  add(report: TimedCrashReport): void {
    if (!isBlamed(report, this.#window)) return;
    for (const part of new Set(report.parts)) {
      const crashes = this.#evidence.get(part) ??
        new Map<string, CrashEvidence>();
      this.#evidence.set(part, crashes);
      const found = crashes.get(report.crash);
      if (found === undefined) {
        const reports = new Set([report]);
        crashes.set(report.crash, { reports, isCleared: false });
      } else found.reports.add(report);
      this.#updateTrials(part);
    }
  }

  /** Removes a report; returns clearances that ended with it. */
  remove(report: TimedCrashReport): readonly ClearedPart[] {
    const { crash } = report;
    const ended: ClearedPart[] = [];
    for (const part of new Set(report.parts)) {
      const crashes = this.#evidence.get(part);
      const found = crashes?.get(crash);
      if (crashes === undefined || found === undefined) continue;
      found.reports.delete(report);
      if (found.reports.size === 0) {
        crashes.delete(crash);
        if (found.isCleared) ended.push({ part, crash });
        if (crashes.size === 0) this.#evidence.delete(part);
      }
      this.#updateTrials(part);
    }
    return ended;
  }

  /** Clears a part of a crash; returns false if it was or isn't reported. */
  clear({ part, crash }: ClearedPart): boolean {
    const found = this.#evidence.get(part)?.get(crash);
    if (found === undefined || found.isCleared) return false;
    found.isCleared = true;
    this.#updateTrials(part);
    return true;
  }

  /** Returns the parts that were cleared of these crashes. */
  clearedOf(reports: readonly TimedCrashReport[]): readonly ClearedPart[] {
    const cleared = new Map<string, ClearedPart>();
    for (const { crash, parts = [] } of reports) {
      for (const part of parts) {
        if (this.#evidence.get(part)?.get(crash)?.isCleared !== true) continue;
        cleared.set(`${part} ${crash}`, { part, crash });
      }
    }
    return [...cleared.values()];
  }

  #updateTrials(part: string): void {
    const trials: PartTrial[] = [];
    for (const [crash, found] of this.#evidence.get(part) ?? []) {
      if (!found.isCleared) trials.push(createTrial(crash, [...found.reports]));
    }
    if (trials.length === 0) this.#trials.delete(part);
    else this.#trials.set(part, trials.sort(compareTrials));
  }
}

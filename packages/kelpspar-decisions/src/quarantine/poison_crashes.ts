import type { TimedCrashReport } from "./crash_report.ts";
import type { Candidate } from "./part_candidate.ts";
import { outweighs } from "./part_candidate.ts";

/** Options of `PoisonCrashes`. */
export interface PoisonCrashesOptions {
  readonly reports: readonly TimedCrashReport[];
  /** Fingerprints of requests that crash endpoints. */
  readonly poison: ReadonlySet<string>;
}

/** The crashes that requests which crash endpoints explain. */
export class PoisonCrashes {
  /** Reports of these requests, by crash. */
  readonly #reports = new Map<string, TimedCrashReport[]>();
  /** Number of crashes by fingerprint. */
  readonly #counts = new Map<string, number>();

  constructor({ reports, poison }: PoisonCrashesOptions) {
    for (const report of reports) {
      const { crash, fingerprint } = report;
      if (!poison.has(fingerprint)) continue;
      const known = this.#reports.get(crash);
      if (known === undefined) this.#reports.set(crash, [report]);
      else known.push(report);
      this.#counts.set(fingerprint, (this.#counts.get(fingerprint) ?? 0) + 1);
    }
  }

  /**
   * Whether a common part was only beside such requests at a crash, and isn't at
   * so many more that it explains theirs.
   */
  explains(crash: string, candidate: Candidate): boolean {
    const reports = this.#reports.get(crash) ?? [];
    return reports.length > 0 &&
      reports.every(({ parts = [] }) => !parts.includes(candidate.part)) &&
      reports.some(({ fingerprint }) =>
        !outweighs(candidate, this.#counts.get(fingerprint) ?? 0)
      );
  }
}

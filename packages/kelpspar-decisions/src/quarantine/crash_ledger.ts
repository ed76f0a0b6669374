import type { CrashPage } from "./crash_page.ts";
import type { CrashReport } from "./crash_report.ts";
import { hashText } from "../routing/rendezvous_hash.ts";
import { findPoisonRequests } from "./find_poison_requests.ts";

/** How long a report counts, milliseconds: one hour. */
export const REPORT_LIFETIME_MILLISECONDS = 3_600_000;
/** Reports kept; beyond that the oldest of requests that aren't poison go. */
export const MOST_REPORTS = 2_000;

interface KeptReport extends CrashReport {
  readonly at: number;
}

/**
 * What a fleet knows of requests that were at endpoints which crashed. Ledgers
 * merge in any order to the same reports. Times are monotonic milliseconds.
 */
export class CrashLedger {
  readonly #reports = new Map<string, KeptReport>();
  /** Requests of reports that ended well, and when. */
  readonly #served = new Map<string, number>();
  #poison: ReadonlySet<string> = new Set();
  #suspects: ReadonlySet<string> = new Set();
  #checksum = 0;

  /** The requests that must not be sent. */
  get poison(): ReadonlySet<string> {
    return this.#poison;
  }

  /** 0 when the ledger is empty; equal for ledgers that hold the same. */
  get checksum(): number {
    return this.#checksum;
  }

  /** Requests that were at crashes, and aren't known to have ended well. */
  get suspects(): ReadonlySet<string> {
    return this.#suspects;
  }

  /** Takes a report in; false when it was known. */
  report(report: CrashReport, now: number): boolean {
    return this.merge({
      reports: [{ ...report, ageMilliseconds: 0 }],
      served: [],
    }, now);
  }

  /** Takes in that a request ended well; false when that was known. */
  markServed(fingerprint: string, now: number): boolean {
    return this.merge({
      reports: [],
      served: [{ fingerprint, ageMilliseconds: 0 }],
    }, now);
  }

  /** Takes in what another daemon knows; false when nothing of it is new. */
  merge(page: CrashPage, now: number): boolean {
    const before = this.#checksum;
    for (const { ageMilliseconds, ...report } of page.reports) {
      const key = keyOf(report);
      if (ageMilliseconds >= REPORT_LIFETIME_MILLISECONDS) continue;
      if (this.#reports.has(key)) continue;
      this.#reports.set(key, { ...report, at: now - ageMilliseconds });
    }
    for (const { fingerprint, ageMilliseconds } of page.served) {
      if (ageMilliseconds >= REPORT_LIFETIME_MILLISECONDS) continue;
      if (this.#served.has(fingerprint)) continue;
      this.#served.set(fingerprint, now - ageMilliseconds);
    }
    this.#dropOld(now);
    this.#dropSurplus();
    this.#settle();
    return this.#checksum !== before;
  }

  /** Drops what is too old; false when nothing was. */
  sweep(now: number): boolean {
    const before = this.#checksum;
    this.#dropOld(now);
    this.#settle();
    return this.#checksum !== before;
  }

  /** Everything, or what concerns one request. */
  page(now: number, fingerprint?: string): CrashPage {
    const isAsked = (one: string): boolean =>
      fingerprint === undefined || one === fingerprint;
    return {
      reports: [...this.#reports.values()]
        .filter((one) => isAsked(one.fingerprint))
        .map(({ at, ...report }) => ({ ...report, ageMilliseconds: now - at })),
      served: [...this.#served]
        .filter(([one]) => isAsked(one))
        .map(([one, at]) => ({ fingerprint: one, ageMilliseconds: now - at })),
    };
  }

  #dropOld(now: number): void {
    const oldest = now - REPORT_LIFETIME_MILLISECONDS;
    for (const [key, { at }] of this.#reports) {
      if (at <= oldest) this.#reports.delete(key);
    }
    for (const [fingerprint, at] of this.#served) {
      if (at <= oldest) this.#served.delete(fingerprint);
    }
  }

  #dropSurplus(): void {
    const oldest = [...this.#served.keys()].slice(0, -MOST_REPORTS);
    for (const fingerprint of oldest) this.#served.delete(fingerprint);
    const surplus = this.#reports.size - MOST_REPORTS;
    if (surplus <= 0) return;
    const rank = (one: KeptReport): number =>
      this.#poison.has(one.fingerprint) ? 1 : 0;
    const dropped = [...this.#reports]
      .sort(([, one], [, other]) =>
        rank(one) - rank(other) || one.at - other.at
      )
      .slice(0, surplus);
    for (const [key] of dropped) this.#reports.delete(key);
  }

  #settle(): void {
    const served = new Set(this.#served.keys());
    const reported = [...this.#reports.values()].map((one) => one.fingerprint);
    this.#suspects = new Set(reported.filter((one) => !served.has(one)));
    this.#poison = findPoisonRequests(this.#reports.values(), served);
    const keys = [
      ...this.#reports.keys(),
      ...[...served].map((fingerprint) => `${fingerprint} served`),
    ];
    this.#checksum = keys.reduce((sum, key) => (sum + hashText(key)) >>> 0, 0);
  }
}

function keyOf({ fingerprint, crash }: CrashReport): string {
  return `${fingerprint} ${crash}`;
}

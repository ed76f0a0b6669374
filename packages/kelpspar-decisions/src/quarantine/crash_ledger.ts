import type { ClearedPart, CrashPage } from "./crash_page.ts";
import type { CrashReport, TimedCrashReport } from "./crash_report.ts";
import type { CrashingParts } from "./find_crashing_parts.ts";
import type { CandidateOptions } from "./part_candidate.ts";
import type { PartAssessment } from "./assess_part.ts";
import { hashText } from "../routing/rendezvous_hash.ts";
import { assessPart } from "./assess_part.ts";
import { answerAge } from "./answer_age.ts";
import { CountedIds } from "./counted_ids.ts";
import { createCandidate, thresholdOfCandidate } from "./part_candidate.ts";
import { findCrashingParts } from "./find_crashing_parts.ts";
import { findPoisonRequests } from "./find_poison_requests.ts";
import { ongoingKey, PartEvidence } from "./part_evidence.ts";
import { reportKey } from "./report_key.ts";

/** How long a report that quarantines something is kept: one hour. */
export const REPORT_LIFETIME_MILLISECONDS = 3_600_000;
/** How long other reports are kept, so that pages stay small. */
export const SUSPECT_LIFETIME_MILLISECONDS = 600_000;
/** Reports kept; the oldest ones of non-poison requests are dropped first. */
export const MAXIMUM_REPORTS = 2_000;
/** Crashes in a page about one cause, which must fit into a row of the store. */
const MAXIMUM_CRASHES_IN_PAGE = 12;
/**
 * Ages up to this are trusted when an answer is compared with a crash. Another
 * daemon's age can't be when this one was suspended in between, which its
 * monotonic clock doesn't show.
 */
const TRUSTED_AGE_MILLISECONDS = 1_000;
/**
 * A request that was served this shortly before a crash isn't blamed for it: an
 * outage of several endpoints cuts a request that callers repeat often at all of
 * them. What was served earlier proves nothing about a new version of them.
 */
const SERVED_RECENTLY_MILLISECONDS = 3_000;

interface StoredReport extends TimedCrashReport {
  /** When this ledger first had the report; not shared. */
  readonly learnedAt: number;
}

/** An answer that shows that endpoints answer on its parts. */
export interface SoundAnswer {
  /** Ids of the prompt's parts that other requests may share. */
  readonly parts: readonly string[];
  /** Service and software version of the endpoint. */
  readonly software: string;
  /** When the answer began, monotonic milliseconds. */
  readonly beganAt: number;
  /** For how long it has written events; undefined if it ended whole. */
  readonly wroteMilliseconds?: number | undefined;
  /** Fingerprint of its request, and the endpoint's incarnation. */
  readonly id?: Pick<CrashReport, "fingerprint" | "crash">;
}

/**
 * The fleet's reports of requests that were at an endpoint when it crashed.
 * Merging is commutative: ledgers hold the same reports in whatever order they
 * arrive. Full ledgers do so once they have merged each other's pages, unless
 * the reports of poison requests alone exceed the maximum. Times are monotonic
 * milliseconds.
 */
export class CrashLedger {
  readonly #reports = new Map<string, StoredReport>();
  /** When requests were last served successfully. */
  readonly #served = new Map<string, number>();
  readonly #evidence = new PartEvidence();
  #poison: ReadonlySet<string> = new Set();
  #crashingParts: readonly CrashingParts[] = [];
  /** Parts that reports name as common, and as sound. */
  readonly #commonParts = new CountedIds();
  readonly #soundParts = new CountedIds();
  #suspects: ReadonlySet<string> = new Set();
  /** Results of `assessPart` since the last change. */
  readonly #assessments = new Map<string, PartAssessment>();
  #checksum = 0;
  /** Whether the content changed since poison and parts were last found. */
  #isChanged = false;

  /** Fingerprints of requests that must not be sent. */
  get poison(): ReadonlySet<string> {
    return this.#poison;
  }

  /** Parts of prompts that must not be sent together. */
  get crashingParts(): readonly CrashingParts[] {
    return this.#crashingParts;
  }

  /** True while an answer could clear a part. */
  get hasSuspectParts(): boolean {
    return this.#evidence.hasUnsettled;
  }

  /** 0 for an empty ledger; equal for ledgers with the same content. */
  get checksum(): number {
    return this.#checksum;
  }

  /** Fingerprints of requests that count for a crash. */
  get suspects(): ReadonlySet<string> {
    return this.#suspects;
  }

  /** Adds a report of a crash at `at`; returns false if it was known. */
  report(report: CrashReport, now: number, at = now): boolean {
    return this.merge({
      reports: [{ ...report, ageMilliseconds: now - at }],
      served: [],
    }, now);
  }

  /** True if this many further crashes may show that the part is the cause. */
  isSuspectPart(part: string, furtherCrashes: number): boolean {
    const trials = this.#evidence.trials.get(part) ?? [];
    const candidate = createCandidate({ ...this.#known, part, trials });
    return candidate.weight + furtherCrashes >=
      thresholdOfCandidate(candidate);
  }

  /** What is known against a part; undefined if no crash of it is known. */
  assessPart(part: string): PartAssessment | undefined {
    const known = this.#assessments.get(part);
    if (known !== undefined) return known;
    const crashes = this.#evidence.crashesOf(part);
    if (crashes.length === 0) return undefined;
    const assessment = assessPart(part, {
      crashes,
      ...this.#known,
      reports: [...this.#reports.values()],
      trials: this.#evidence.trials,
      poison: this.#poison,
    });
    this.#assessments.set(part, assessment);
    return assessment;
  }

  /**
   * Crashes that an answer clears its parts of: those before it began, if it has
   * written for long enough. Endpoints of other software prove nothing, since a
   * new version may be what crashes.
   */
  findCleared(answer: SoundAnswer): readonly ClearedPart[] {
    const { id, wroteMilliseconds } = answer;
    const by = id === undefined || wroteMilliseconds === undefined
      ? {}
      : { by: { ...id, wroteMilliseconds } };
    return answer.parts.flatMap((part) =>
      this.#evidence.listClearable(part, wroteMilliseconds)
        .filter(({ reports }) => this.#isDisproved(reports, answer))
        .map(({ crash }) => ({ part, crash, ...by }))
    );
  }

  /** Clears parts as `findCleared` says; returns false if there were none. */
  clearParts(answer: SoundAnswer, now: number): boolean {
    return this.clear(this.findCleared(answer), now);
  }

  /** Clears parts of crashes; returns false if nothing changed. */
  clear(cleared: readonly ClearedPart[], now: number): boolean {
    return cleared.length > 0 &&
      this.merge({ reports: [], served: [], cleared }, now);
  }

  /**
   * Marks a request as served at `at`; returns false if that clears it of no
   * crash.
   */
  markServed(fingerprint: string, at: number): boolean {
    const clears = [...this.#reports.values()].some((report) =>
      report.fingerprint === fingerprint && this.#countsForPoison(report) &&
      !isBlamedAfterServing(report, at)
    );
    if (!clears) return false;
    this.#addServed(fingerprint, at);
    this.#dropExcess();
    this.#recompute();
    return true;
  }

  /** Clears parts of all crashes that are known now. */
  releaseParts(parts: readonly string[], now: number): void {
    const { trials } = this.#evidence;
    const cleared = parts.flatMap((part) =>
      (trials.get(part) ?? []).map(({ crash }) => ({ part, crash }))
    );
    this.clear(cleared, now);
  }

  /** Merges another daemon's reports; returns false if nothing changed. */
  merge(page: CrashPage, now: number): boolean {
    const before = this.#checksum;
    for (const { ageMilliseconds, ...report } of page.reports) {
      if (ageMilliseconds >= REPORT_LIFETIME_MILLISECONDS) continue;
      const at = now - ageMilliseconds;
      const stored = { ...report, at, learnedAt: now };
      this.#addReport(
        answerAge(stored) === undefined ? withoutParts(stored) : stored,
      );
    }
    for (const { fingerprint, ageMilliseconds } of page.served) {
      if (ageMilliseconds >= REPORT_LIFETIME_MILLISECONDS) continue;
      this.#addServed(fingerprint, now - ageMilliseconds);
    }
    for (const cleared of page.cleared ?? []) {
      if (this.#evidence.clear(cleared)) this.#toggle(clearedKey(cleared), 1);
    }
    this.#dropExpired(now);
    this.#dropExcess();
    this.#dropOldSuspects(now);
    return this.#checksum !== before;
  }

  /** Drops expired reports; returns false if there were none. */
  sweep(now: number): boolean {
    const before = this.#checksum;
    this.#dropExpired(now);
    this.#dropOldSuspects(now);
    return this.#checksum !== before;
  }

  /** Returns all reports, or those of one request. */
  page(now: number, fingerprint?: string): CrashPage {
    const isIncluded = (candidate: string): boolean =>
      fingerprint === undefined || candidate === fingerprint;
    const reports = [...this.#reports.values()]
      .filter((report) => isIncluded(report.fingerprint));
    return {
      ...this.#createPage(reports, now),
      served: [...this.#served]
        .filter(([served]) => isIncluded(served))
        .map(([served, at]) => ({
          fingerprint: served,
          ageMilliseconds: now - at,
        })),
    };
  }

  /** Returns what shows that parts crash endpoints. */
  pageOfParts(now: number, { parts, crashes }: CrashingParts): CrashPage {
    const newest = new Set(crashes.slice(-MAXIMUM_CRASHES_IN_PAGE));
    const reports = [...this.#reports.values()].filter((report) =>
      newest.has(report.crash) &&
      parts.some((part) => report.parts?.includes(part))
    );
    return { ...this.#createPage(reports, now), served: [] };
  }

  /** What is known of parts besides their trials. */
  get #known(): Pick<
    CandidateOptions,
    "commonParts" | "soundParts" | "answeredCrashes"
  > {
    return {
      commonParts: this.#commonParts.ids,
      soundParts: this.#soundParts.ids,
      answeredCrashes: this.#evidence.answeredCrashes,
    };
  }

  #createPage(
    reports: readonly StoredReport[],
    now: number,
  ): Pick<CrashPage, "reports" | "cleared"> {
    return {
      reports: reports.map(({ at, learnedAt: _, ...report }) => ({
        ...report,
        ageMilliseconds: now - at,
      })),
      cleared: this.#evidence.clearedOf(reports),
    };
  }

  #isDisproved(
    reports: readonly TimedCrashReport[],
    { software, beganAt }: SoundAnswer,
  ): boolean {
    return reports.some((report) =>
      report.software === software && this.#latestCrashTime(report) < beganAt
    );
  }

  /** Time at which the crash had happened by all that this ledger can tell. */
  #latestCrashTime(report: TimedCrashReport): number {
    const learnedAt = this.#reports.get(reportKey(report))?.learnedAt ??
      Number.POSITIVE_INFINITY;
    return Math.max(report.at, learnedAt - TRUSTED_AGE_MILLISECONDS);
  }

  #addReport(report: StoredReport): void {
    const key = reportKey(report);
    const known = this.#reports.get(key);
    const stored = known === undefined ? report : mergeReports(known, report);
    if (known !== undefined && isSameReport(known, stored)) return;
    this.#reports.set(key, stored);
    this.#evidence.add(stored);
    this.#commonParts.add(stored.commonParts);
    this.#soundParts.add(stored.soundParts);
    if (known === undefined) this.#toggle(key, 1);
    else {
      this.#evidence.remove(known);
      this.#forgetParts(known);
    }
    this.#isChanged = true;
  }

  #removeReport(key: string, report: StoredReport): void {
    this.#reports.delete(key);
    this.#forgetParts(report);
    this.#toggle(key, -1);
    for (const ended of this.#evidence.remove(report)) {
      this.#toggle(clearedKey(ended), -1);
    }
  }

  #forgetParts({ commonParts, soundParts }: StoredReport): void {
    this.#commonParts.remove(commonParts);
    this.#soundParts.remove(soundParts);
  }

  #addServed(fingerprint: string, at: number): void {
    const known = this.#served.get(fingerprint);
    if (known === undefined) this.#toggle(servedKey(fingerprint), 1);
    else if (known < at) this.#isChanged = true;
    this.#served.set(fingerprint, Math.max(known ?? at, at));
  }

  #countsForPoison(report: StoredReport): boolean {
    return isBlamedAfterServing(report, this.#served.get(report.fingerprint));
  }

  #removeServed(fingerprint: string): void {
    this.#served.delete(fingerprint);
    this.#toggle(servedKey(fingerprint), -1);
  }

  /** Adds an entry to the checksum, or removes it. */
  #toggle(key: string, sign: 1 | -1): void {
    this.#checksum = (this.#checksum + sign * hashText(key)) >>> 0;
    this.#isChanged = true;
  }

  #dropExpired(now: number): void {
    const oldest = now - REPORT_LIFETIME_MILLISECONDS;
    for (const [key, report] of this.#reports) {
      if (report.at <= oldest) this.#removeReport(key, report);
    }
    for (const [fingerprint, at] of this.#served) {
      if (at <= oldest) this.#removeServed(fingerprint);
    }
  }

  #dropOldSuspects(now: number): void {
    this.#recompute();
    const oldest = now - SUSPECT_LIFETIME_MILLISECONDS;
    for (const [key, report] of this.#reports) {
      if (report.at > oldest || this.#isExplained(report)) continue;
      this.#removeReport(key, report);
    }
    this.#recompute();
  }

  /**
   * Drops by an order that depends on the content alone. Poison requests are
   * found among the reports including those just merged; otherwise a full ledger
   * would drop the old reports of a poison request that it learns of last.
   */
  #dropExcess(): void {
    if (this.#served.size > MAXIMUM_REPORTS) {
      const servedByAge = [...this.#served].sort(compareEntries);
      for (const [fingerprint] of servedByAge.slice(0, -MAXIMUM_REPORTS)) {
        this.#removeServed(fingerprint);
      }
    }
    const surplus = this.#reports.size - MAXIMUM_REPORTS;
    if (surplus <= 0) return;
    this.#recompute();
    const dropped = [...this.#reports]
      .sort(([leftKey, left], [rightKey, right]) =>
        Number(this.#isExplained(left)) - Number(this.#isExplained(right)) ||
        compareEntries([leftKey, left.at], [rightKey, right.at])
      )
      .slice(0, surplus);
    for (const [key, report] of dropped) this.#removeReport(key, report);
  }

  /** Whether a report shows that a request or a part crashes endpoints. */
  #isExplained({ fingerprint, crash, parts = [] }: StoredReport): boolean {
    return this.#poison.has(fingerprint) ||
      this.#crashingParts.some((cause) =>
        cause.crashes.includes(crash) &&
        cause.parts.every((part) => parts.includes(part))
      );
  }

  #recompute(): void {
    if (!this.#isChanged) return;
    this.#isChanged = false;
    this.#assessments.clear();
    const reports = [...this.#reports.values()];
    const counted = reports.filter((report) => this.#countsForPoison(report));
    this.#suspects = new Set(counted.map(({ fingerprint }) => fingerprint));
    this.#poison = findPoisonRequests(counted);
    this.#crashingParts = findCrashingParts({
      ...this.#known,
      reports,
      trials: this.#evidence.trials,
      poison: this.#poison,
    });
  }
}

/**
 * Merges two reports of the same crash. The higher age is closer to the crash,
 * since a report's time in transit isn't part of its age. An answer that had
 * begun is the more specific observation, and of two the one that wrote for less
 * time, so that merging never lifts the blame.
 */
function mergeReports(left: StoredReport, right: StoredReport): StoredReport {
  const ran = Math.min(
    left.ranMilliseconds ?? Number.POSITIVE_INFINITY,
    right.ranMilliseconds ?? Number.POSITIVE_INFINITY,
  );
  const { wroteMilliseconds, waitedMilliseconds } =
    compareByAge(left, right) <= 0 ? left : right;
  const parts = left.parts ?? right.parts;
  const commonParts = mergeIds(left.commonParts, right.commonParts);
  const soundParts = mergeIds(left.soundParts, right.soundParts);
  const software = left.software ?? right.software;
  return {
    ...left,
    at: Math.min(left.at, right.at),
    learnedAt: Math.min(left.learnedAt, right.learnedAt),
    ranMilliseconds: Number.isFinite(ran) ? ran : undefined,
    // Daemons of older builds drop the parts of the reports that they pass on.
    ...(parts === undefined ? {} : { parts }),
    ...(commonParts === undefined ? {} : { commonParts }),
    ...(soundParts === undefined ? {} : { soundParts }),
    ...(software === undefined ? {} : { software }),
    wroteMilliseconds,
    waitedMilliseconds,
  };
}

/** Orders reports by the ages of their answers, those not begun last. */
function compareByAge(left: StoredReport, right: StoredReport): number {
  const hasBegun = ({ ranMilliseconds }: StoredReport): boolean =>
    ranMilliseconds !== undefined;
  const ageOf = (report: StoredReport): number =>
    answerAge(report) ?? Number.MAX_VALUE;
  return Number(hasBegun(right)) - Number(hasBegun(left)) ||
    ageOf(left) - ageOf(right) ||
    (left.wroteMilliseconds ?? -1) - (right.wroteMilliseconds ?? -1) ||
    (left.waitedMilliseconds ?? -1) - (right.waitedMilliseconds ?? -1);
}

/** Returns `left` itself if `right` adds nothing. */
function mergeIds(
  left: readonly string[] | undefined,
  right: readonly string[] | undefined,
): readonly string[] | undefined {
  if (left === undefined || right === undefined) return left ?? right;
  const added = right.filter((id) => !left.includes(id));
  return added.length === 0 ? left : [...left, ...added].sort();
}

/** Drops the parts of a report, which matter only if the answer is blamed. */
function withoutParts(
  { parts: _, commonParts: __, soundParts: ___, ...report }: StoredReport,
): StoredReport {
  return report;
}

/** Whether a request that was last served at `servedAt` counts for a crash. */
function isBlamedAfterServing(
  { at }: StoredReport,
  servedAt = Number.NEGATIVE_INFINITY,
): boolean {
  return servedAt < at - SERVED_RECENTLY_MILLISECONDS;
}

function isSameReport(left: StoredReport, right: StoredReport): boolean {
  return left.at === right.at && left.learnedAt === right.learnedAt &&
    left.ranMilliseconds === right.ranMilliseconds &&
    left.wroteMilliseconds === right.wroteMilliseconds &&
    left.waitedMilliseconds === right.waitedMilliseconds &&
    left.parts === right.parts && left.commonParts === right.commonParts &&
    left.soundParts === right.soundParts &&
    left.software === right.software;
}

/** Orders entries from the oldest to the newest, then by key. */
function compareEntries(
  [leftKey, leftAt]: readonly [string, number],
  [rightKey, rightAt]: readonly [string, number],
): number {
  if (leftAt !== rightAt) return leftAt - rightAt;
  return leftKey < rightKey ? -1 : 1;
}

function servedKey(fingerprint: string): string {
  return `${fingerprint} served`;
}

function clearedKey({ part, crash, by }: ClearedPart): string {
  const key = `${part} cleared of ${crash}`;
  return by === undefined ? key : `${key} by ${ongoingKey(by)}`;
}

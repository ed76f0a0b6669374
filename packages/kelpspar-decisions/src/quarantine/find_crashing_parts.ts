import type { TimedCrashReport } from "./crash_report.ts";
import type { PartTrial, PartTrials } from "./part_trials.ts";
import type { Candidate, CrashThresholds } from "./part_candidate.ts";
import { NARROW_WINDOW, WIDE_WINDOW } from "./blame_window.ts";
import {
  baseThresholds,
  compareCandidates,
  createCandidate,
} from "./part_candidate.ts";

/**
 * Time from the first of these crashes until the part is quarantined. A sound
 * part that many requests share is answered on in between.
 */
export const PART_GRACE_MILLISECONDS = 1_000;
/**
 * Numbers of unrelated crashes within `UNRELATED_MILLISECONDS`, each of which
 * raises the threshold by one: the more endpoints end by chance, the more often
 * a sound part is at several of the crashes.
 */
const UNRELATED_CRASH_STEPS: readonly number[] = [2, 6, 15];
const UNRELATED_MILLISECONDS = 20_000;
/**
 * Time after the last crash until a common part is probed. What all requests
 * share may have been at the crashes of something else, and once it is held no
 * answer clears it.
 */
const PROBE_DELAY_MILLISECONDS = 60_000;
/** The same after a probe that crashed its endpoint. */
const REPEATED_PROBE_DELAY_MILLISECONDS = 900_000;
/** Parts that a cause consists of at most. */
const MAXIMUM_PARTS = 8;

/** Parts of a prompt that crash endpoints if a prompt has all of them. */
export interface CrashingParts {
  /** Ids in ascending order. */
  readonly parts: readonly string[];
  /** Crashes that they explain, oldest first. */
  readonly crashes: readonly string[];
  /** From when requests are quarantined, monotonic milliseconds. */
  readonly enforcedFrom: number;
  /**
   * From when one request may be sent to find out whether endpoints answer on
   * them again, monotonic milliseconds; undefined if none may.
   */
  readonly probeFrom: number | undefined;
}

/** Options of `findCrashingParts`. */
export interface FindCrashingPartsOptions {
  readonly reports: readonly TimedCrashReport[];
  /** Trials of each part in the narrow blame window that weren't cleared. */
  readonly trials: PartTrials;
  /** The same in the wide one. */
  readonly wideTrials: PartTrials;
  /** Fingerprints of requests that crash endpoints. */
  readonly poison: ReadonlySet<string>;
  /** Parts that were common in the sound answers of a daemon. */
  readonly commonParts: ReadonlySet<string>;
  /** Parts that a daemon has had sound answers on. */
  readonly soundParts: ReadonlySet<string>;
}

/**
 * Finds the parts of prompts that crash the endpoints that begin to answer on
 * them. A part is the cause if endpoints crashed on it several times in
 * succession while none answered on it. Parts that come together at all of these
 * crashes are a cause together, the narrowest one; a further crash or answer
 * tells them apart. Crashes that one cause explains don't count against others.
 */
export function findCrashingParts(
  options: FindCrashingPartsOptions,
): readonly CrashingParts[] {
  const explained = new Set<string>();
  const causes: CrashingParts[] = [];
  for (;;) {
    const candidates = listCandidates(options, explained);
    if (!candidates.some(mayBeCause)) return causes;
    const related = new Set(
      candidates.flatMap(({ trials }) => trials.map(({ crash }) => crash)),
    );
    const unrelated = listUnrelatedCrashes(options, related, explained);
    const cause = candidates.map((candidate) => ({
      candidate,
      evidence: sufficientSeries(candidate, unrelated),
    })).find(({ evidence }) => evidence !== undefined);
    if (cause?.evidence === undefined) return causes;
    causes.push(describeCause(cause.candidate, cause.evidence, options));
    for (const { crash } of cause.candidate.trials) explained.add(crash);
  }
}

/** Returns the parts that may be causes, the likeliest first. */
export function listCandidates(
  options: FindCrashingPartsOptions,
  explained: ReadonlySet<string>,
): readonly Candidate[] {
  const { trials, wideTrials, commonParts, soundParts } = options;
  const poisonReports = listPoisonReports(options);
  const candidates: Candidate[] = [];
  for (const [part, partTrials] of wideTrials) {
    const isCommon = commonParts.has(part);
    const isOpen = ({ crash }: PartTrial): boolean =>
      !explained.has(crash) &&
      !(isCommon && isExplainedByPoison(part, poisonReports.get(crash)));
    const candidate = createCandidate({
      part,
      commonParts,
      soundParts,
      trials: (trials.get(part) ?? []).filter(isOpen),
      wideTrials: partTrials.filter(isOpen),
    });
    const isRepeated = candidate.series.length >= 2 ||
      candidate.wideSeries.length >= WIDE_WINDOW.crashThreshold;
    if (isRepeated) candidates.push(candidate);
  }
  return candidates.sort(compareCandidates);
}

function mayBeCause({ isCommon, series, wideSeries }: Candidate): boolean {
  const { narrow, wide } = baseThresholds(isCommon);
  return series.length >= narrow || wideSeries.length >= wide;
}

/** Reports of requests that crash endpoints, by crash. */
function listPoisonReports(
  { reports, poison }: FindCrashingPartsOptions,
): ReadonlyMap<string, readonly TimedCrashReport[]> {
  const byCrash = new Map<string, TimedCrashReport[]>();
  for (const report of reports) {
    if (!poison.has(report.fingerprint)) continue;
    byCrash.set(report.crash, [...byCrash.get(report.crash) ?? [], report]);
  }
  return byCrash;
}

/** Whether a part was only beside the requests that explain a crash. */
function isExplainedByPoison(
  part: string,
  reports: readonly TimedCrashReport[] = [],
): boolean {
  return reports.length > 0 &&
    reports.every(({ parts = [] }) => !parts.includes(part));
}

/** Returns the times of crashes that neither causes nor candidates explain. */
export function listUnrelatedCrashes(
  { reports, poison }: FindCrashingPartsOptions,
  related: ReadonlySet<string>,
  explained: ReadonlySet<string>,
): readonly number[] {
  const unrelated = new Map<string, number>();
  const poisoned = new Set<string>();
  for (const { crash, fingerprint, at } of reports) {
    if (poison.has(fingerprint)) poisoned.add(crash);
    if (related.has(crash) || explained.has(crash)) continue;
    unrelated.set(crash, Math.min(at, unrelated.get(crash) ?? at));
  }
  for (const crash of poisoned) unrelated.delete(crash);
  return [...unrelated.values()];
}

/** The trials that make a candidate the cause; undefined if they don't. */
function sufficientSeries(
  candidate: Candidate,
  unrelatedCrashes: readonly number[],
): readonly PartTrial[] | undefined {
  const { series, wideSeries } = candidate;
  const { narrow, wide } = thresholdsOf(candidate, unrelatedCrashes);
  if (series.length >= narrow) return series.slice(0, narrow);
  return wideSeries.length >= wide ? wideSeries.slice(0, wide) : undefined;
}

/** The crashes in succession that make a candidate the cause. */
export function thresholdsOf(
  candidate: Candidate,
  unrelatedCrashes: readonly number[],
): CrashThresholds {
  const count = countUnrelated(candidate, unrelatedCrashes);
  const raised = UNRELATED_CRASH_STEPS.filter((step) => count >= step);
  const raisedThreshold = NARROW_WINDOW.crashThreshold + raised.length;
  const { narrow, wide } = baseThresholds(candidate.isCommon);
  return {
    narrow: Math.max(narrow, raisedThreshold),
    wide: Math.max(wide, raisedThreshold),
  };
}

/** The unrelated crashes shortly before the last one of a candidate. */
export function countUnrelated(
  { series, wideSeries }: Pick<Candidate, "series" | "wideSeries">,
  unrelatedCrashes: readonly number[],
): number {
  const lastAt = (series.at(-1) ?? wideSeries.at(-1))?.at ?? 0;
  return unrelatedCrashes.filter((at) =>
    at > lastAt - UNRELATED_MILLISECONDS && at <= lastAt
  ).length;
}

function describeCause(
  candidate: Candidate,
  evidence: readonly PartTrial[],
  { wideTrials }: FindCrashingPartsOptions,
): CrashingParts {
  const first = evidence[0];
  const last = evidence.at(-1);
  const enforcedFrom = Math.max(
    last?.at ?? 0,
    (first?.at ?? 0) + PART_GRACE_MILLISECONDS,
  );
  return {
    parts: inseparableParts(candidate, wideTrials),
    crashes: candidate.trials.map(({ crash }) => crash),
    enforcedFrom,
    probeFrom: candidate.isCommon
      ? findProbeTime(candidate, enforcedFrom)
      : undefined,
  };
}

function findProbeTime({ trials }: Candidate, enforcedFrom: number): number {
  const lastAt = trials.at(-1)?.at ?? enforcedFrom;
  const hasProbed = lastAt >= enforcedFrom + PROBE_DELAY_MILLISECONDS;
  return lastAt +
    (hasProbed ? REPEATED_PROBE_DELAY_MILLISECONDS : PROBE_DELAY_MILLISECONDS);
}

/** The part and those that stand beside it at each of its crashes. */
function inseparableParts(
  candidate: Candidate,
  allTrials: FindCrashingPartsOptions["trials"],
): readonly string[] {
  const isBeside = (part: string): boolean => {
    const crashes = new Set(allTrials.get(part)?.map(({ crash }) => crash));
    return candidate.trials.every(({ crash, reports }) =>
      crashes.has(crash) && reports.some(({ parts }) => parts?.includes(part))
    );
  };
  const beside = (candidate.trials[0]?.reports ?? [])
    .flatMap(({ parts = [] }) => parts)
    .filter((part) => part !== candidate.part && isBeside(part));
  const others = [...new Set(beside)].sort().slice(0, MAXIMUM_PARTS - 1);
  return [candidate.part, ...others].sort();
}

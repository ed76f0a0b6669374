import type { TimedCrashReport } from "./crash_report.ts";
import type { PartTrial, PartTrials } from "./part_trials.ts";
import type { Candidate, PartSet } from "./part_candidate.ts";
import { PoisonCrashes } from "./poison_crashes.ts";
import { CRASH_THRESHOLD } from "./crash_weight.ts";
import {
  compareCandidates,
  createCandidate,
  thresholdOfCandidate,
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
/** Weight from which a part may be a cause, so that its crashes are related. */
const MINIMUM_CANDIDATE_WEIGHT = CRASH_THRESHOLD - 1;
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
  /** Trials of each part that weren't cleared. */
  readonly trials: PartTrials;
  /** Fingerprints of requests that crash endpoints. */
  readonly poison: ReadonlySet<string>;
  /** Parts that were common in the sound answers of a daemon. */
  readonly commonParts: PartSet;
  /** Parts that a daemon has had sound answers on. */
  readonly soundParts: PartSet;
  /** Crashes after which an answer on some part ended whole. */
  readonly answeredCrashes: Pick<ReadonlySet<string>, "has">;
}

/**
 * Finds the parts of prompts that crash the endpoints that answer on them. A
 * part is the cause if endpoints crashed on it several times in succession while
 * no answer on it lasted. Parts that come together at all of these crashes are
 * a cause together, the narrowest one; a further crash or answer tells them
 * apart. Crashes that one cause explains don't count against others.
 */
export function findCrashingParts(
  options: FindCrashingPartsOptions,
): readonly CrashingParts[] {
  const explained = new Set<string>();
  const poisonCrashes = new PoisonCrashes(options);
  const crashTimes = listCrashTimes(options);
  const causes: CrashingParts[] = [];
  for (;;) {
    const candidates = listCandidates(options, { explained, poisonCrashes });
    if (!candidates.some(mayBeCause)) return causes;
    const related = new Set(
      candidates.flatMap(({ trials }) => trials.map(({ crash }) => crash)),
    );
    const unrelated = listUnrelatedCrashes(crashTimes, related, explained);
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
  { trials, ...known }: FindCrashingPartsOptions,
  { explained, poisonCrashes }: {
    /** Crashes that causes explain already. */
    readonly explained: ReadonlySet<string>;
    readonly poisonCrashes: PoisonCrashes;
  },
): readonly Candidate[] {
  const candidates: Candidate[] = [];
  for (const [part, partTrials] of trials) {
    const open = partTrials.filter(({ crash }) => !explained.has(crash));
    if (open.length < 2) continue;
    const create = (openTrials: readonly PartTrial[]): Candidate =>
      createCandidate({ ...known, part, trials: openTrials });
    const whole = create(open);
    const candidate = whole.isCommon
      ? create(
        open.filter(({ crash }) => !poisonCrashes.explains(crash, whole)),
      )
      : whole;
    if (candidate.weight >= MINIMUM_CANDIDATE_WEIGHT) {
      candidates.push(candidate);
    }
  }
  return candidates.sort(compareCandidates);
}

function mayBeCause(candidate: Candidate): boolean {
  return candidate.weight >= thresholdOfCandidate(candidate);
}

/** Returns the times of crashes that no poison request explains. */
export function listCrashTimes(
  { reports, poison }: FindCrashingPartsOptions,
): ReadonlyMap<string, number> {
  const times = new Map<string, number>();
  const poisoned = new Set<string>();
  for (const { crash, fingerprint, at } of reports) {
    if (poison.has(fingerprint)) poisoned.add(crash);
    times.set(crash, Math.min(at, times.get(crash) ?? at));
  }
  for (const crash of poisoned) times.delete(crash);
  return times;
}

/** Returns the times of crashes that neither causes nor candidates explain. */
export function listUnrelatedCrashes(
  crashTimes: ReadonlyMap<string, number>,
  related: ReadonlySet<string>,
  explained: ReadonlySet<string>,
): readonly number[] {
  return [...crashTimes].flatMap(([crash, at]) =>
    related.has(crash) || explained.has(crash) ? [] : [at]
  );
}

/** The trials that make a candidate the cause; undefined if they don't. */
function sufficientSeries(
  candidate: Candidate,
  unrelatedCrashes: readonly number[],
): readonly PartTrial[] | undefined {
  const threshold = thresholdOf(candidate, unrelatedCrashes);
  let weight = 0;
  for (const [index, trial] of candidate.series.entries()) {
    weight += trial.weight;
    if (weight >= threshold) return candidate.series.slice(0, index + 1);
  }
  return undefined;
}

/** The weight of crashes in succession that makes a candidate the cause. */
export function thresholdOf(
  candidate: Candidate,
  unrelatedCrashes: readonly number[],
): number {
  const count = countUnrelated(candidate, unrelatedCrashes);
  const raised = UNRELATED_CRASH_STEPS.filter((step) => count >= step);
  return thresholdOfCandidate(candidate, raised.length);
}

/** The unrelated crashes shortly before the last one of a candidate. */
export function countUnrelated(
  { series }: Pick<Candidate, "series">,
  unrelatedCrashes: readonly number[],
): number {
  const lastAt = series.at(-1)?.at ?? 0;
  return unrelatedCrashes.filter((at) =>
    at > lastAt - UNRELATED_MILLISECONDS && at <= lastAt
  ).length;
}

function describeCause(
  candidate: Candidate,
  evidence: readonly PartTrial[],
  { trials }: FindCrashingPartsOptions,
): CrashingParts {
  const first = evidence[0];
  const last = evidence.at(-1);
  const enforcedFrom = Math.max(
    last?.at ?? 0,
    (first?.at ?? 0) + PART_GRACE_MILLISECONDS,
  );
  return {
    parts: inseparableParts(candidate, trials),
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

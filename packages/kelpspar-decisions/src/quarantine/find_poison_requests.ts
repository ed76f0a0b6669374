import type { CrashReport } from "./crash_report.ts";

/** Unexplained crashes from which a request counts as poison. */
export const POISON_CRASH_THRESHOLD = 3;

/** A request that may be poison, with its crashes. */
interface Suspect {
  readonly fingerprint: string;
  readonly crashes: ReadonlySet<string>;
  /** Crashes that happened after its answer had started. */
  readonly runCount: number;
  readonly ranMilliseconds: number;
}

/**
 * Finds the poison requests: those that crash the endpoints that run them.
 *
 * A crash ends all requests at the endpoint, and callers retry them, so that
 * harmless requests are reported at several crashes too. A crash explained by a
 * poison request therefore doesn't count against the other requests. The
 * assignment is recomputed from all reports each time, so that a wrong guess
 * lasts until the next crash.
 */
export function findPoisonRequests(
  reports: Iterable<CrashReport>,
): ReadonlySet<string> {
  const suspects = groupBySuspect(reports);
  const explained = new Set<string>();
  const poison = new Set<string>();
  for (;;) {
    const mostSuspicious = findMostSuspicious(suspects, explained);
    if (mostSuspicious === undefined) return poison;
    poison.add(mostSuspicious.fingerprint);
    for (const crash of mostSuspicious.crashes) explained.add(crash);
  }
}

function groupBySuspect(
  reports: Iterable<CrashReport>,
): readonly Suspect[] {
  const byFingerprint = new Map<string, CrashReport[]>();
  for (const report of reports) {
    const known = byFingerprint.get(report.fingerprint);
    if (known === undefined) byFingerprint.set(report.fingerprint, [report]);
    else known.push(report);
  }
  return [...byFingerprint].map(([fingerprint, requestReports]) => ({
    fingerprint,
    crashes: new Set(requestReports.map(({ crash }) => crash)),
    runCount:
      requestReports.filter((report) => report.ranMilliseconds !== undefined)
        .length,
    ranMilliseconds: requestReports.reduce(
      (sum, report) => sum + (report.ranMilliseconds ?? 0),
      0,
    ),
  }));
}

/** Returns the suspect with the most unexplained crashes. */
function findMostSuspicious(
  suspects: readonly Suspect[],
  explained: ReadonlySet<string>,
): Suspect | undefined {
  let mostSuspicious: Suspect | undefined;
  let highestCount = POISON_CRASH_THRESHOLD - 1;
  for (const suspect of suspects) {
    const count = [...suspect.crashes].filter((crash) => !explained.has(crash))
      .length;
    const isMoreSuspicious = count > highestCount ||
      (mostSuspicious !== undefined && count === highestCount &&
        isMoreLikelyCause(suspect, mostSuspicious));
    if (isMoreSuspicious) [mostSuspicious, highestCount] = [suspect, count];
  }
  return mostSuspicious;
}

/**
 * Breaks ties between requests with equally many crashes: the likelier cause
 * had started before more of them, and had run for less time until then. The
 * order of fingerprints makes the choice the same on all daemons.
 */
function isMoreLikelyCause(left: Suspect, right: Suspect): boolean {
  if (left.runCount !== right.runCount) return left.runCount > right.runCount;
  if (left.ranMilliseconds !== right.ranMilliseconds) {
    return left.ranMilliseconds < right.ranMilliseconds;
  }
  return left.fingerprint < right.fingerprint;
}

import type { RunnerRun } from "./runner_stand_in.ts";

/** Groups the runs of each attempt. */
export function groupRuns(
  runs: readonly RunnerRun[],
): ReadonlyMap<string, readonly RunnerRun[]> {
  const groups = new Map<string, RunnerRun[]>();
  for (const run of runs) {
    const group = groups.get(run.attemptId);
    if (group === undefined) groups.set(run.attemptId, [run]);
    else group.push(run);
  }
  return groups;
}

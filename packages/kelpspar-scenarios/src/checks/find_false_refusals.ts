import type { Attempt } from "../world/callers/attempt.ts";
import type { Submission } from "../world/callers/submission.ts";
import type { World } from "../world/world.ts";
import { executionsWithEffect } from "./executions_with_effect.ts";

/**
 * Finds refusals with outcome `not_run` for a request that ran, before or after.
 * A refusal covers its own submission to a daemon. If the caller stated that
 * earlier submissions of the key got no final answer (`resubmission`), it covers
 * those too. It doesn't cover later submissions.
 */
export function findFalseRefusals(world: World): readonly string[] {
  return world.callers.submissions.flatMap((submission) =>
    submission.attempts.flatMap((attempt) => {
      if (!isNotRunRefusal(attempt)) return [];
      const covered = coveredRequestIds(submission, attempt);
      const execution = executionsWithEffect(world, submission).find(
        ({ call }) => covered.has(call.requestId),
      );
      if (execution === undefined) return [];
      return [
        `${submission.token} was refused by ${attempt.daemon.daemonId} at ${
          Math.round(attempt.endedAt ?? 0)
        } ms and ran at ${execution.endpointId} at ${
          Math.round(execution.startedAt)
        } ms`,
      ];
    })
  );
}

function isNotRunRefusal({ ending }: Attempt): boolean {
  if (ending?.type !== "answered" && ending?.type !== "refused") return false;
  const { record } = ending;
  return record.type === "failure" && record.outcome === "not_run";
}

function coveredRequestIds(
  submission: Submission,
  attempt: Attempt,
): ReadonlySet<string | undefined> {
  const { attempts } = submission;
  const covered = attempt.isResubmission
    ? attempts.slice(0, attempts.indexOf(attempt) + 1)
    : [attempt];
  return new Set(covered.map(({ context }) => context?.requestId));
}

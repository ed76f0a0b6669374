import type { Attempt } from "../world/callers/attempt.ts";
import type { Submission } from "../world/callers/submission.ts";
import type { World } from "../world/world.ts";

/**
 * Finds submissions to live daemons without a final record, and non-idempotent
 * requests with two different answers.
 */
export function findWrongEndings(world: World): readonly string[] {
  return world.callers.submissions.flatMap((submission) => [
    ...submission.attempts.flatMap((attempt) =>
      isUnfinished(attempt)
        ? [
          `${submission.token} has no final answer from ${daemonIdOf(attempt)}`,
        ]
        : []
    ),
    ...findTwoAnswers(submission),
  ]);
}

/** Requests of disconnected callers must end too: none runs forever. */
function isUnfinished({ ending, context, daemon }: Attempt): boolean {
  if (ending === undefined) return true;
  if (ending.type !== "left" || !daemon.isRunning) return false;
  return context !== undefined && context.log.final === undefined;
}

function findTwoAnswers(submission: Submission): readonly string[] {
  if (!submission.kind.nonIdempotent) return [];
  const texts = submission.attempts
    .filter(({ ending }) =>
      ending?.type === "answered" && ending.record.type === "end"
    )
    .map(({ text }) => text);
  if (new Set(texts).size <= 1) return [];
  return [`${submission.token} got different answers`];
}

function daemonIdOf({ daemon }: Attempt): string {
  return daemon.daemonId;
}

import type { AttemptEnding } from "../world/callers/attempt.ts";
import type { Submission } from "../world/callers/submission.ts";
import type { World } from "../world/world.ts";
import { completedAttempt } from "../world/callers/submission.ts";

/** Finds answered requests whose last repeat got no or a different answer. */
export function findMissingRepeats(world: World): readonly string[] {
  return world.callers.submissions.flatMap((submission) => {
    const first = completedAttempt(submission);
    const last = submission.attempts.at(-1);
    if (first === undefined || last === undefined || last === first) return [];
    const isLastWhole = isWhole(last.ending);
    if (isLastWhole && first.text === last.text) return [];
    return [describe(submission, isLastWhole ? undefined : last.ending)];
  });
}

function isWhole(ending: AttemptEnding | undefined): boolean {
  return ending?.type === "answered" && ending.record.type === "end";
}

function describe(
  { token }: Submission,
  ending: AttemptEnding | undefined,
): string {
  if (ending === undefined) return `${token} got a different second answer`;
  const hasRecord = ending.type === "answered" || ending.type === "refused";
  const found = hasRecord && ending.record.type === "failure"
    ? ending.record.result
    : ending.type;
  return `${token} was repeated and got "${found}"`;
}

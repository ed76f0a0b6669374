import type { Attempt } from "../world/callers/attempt.ts";
import type { Submission } from "../world/callers/submission.ts";
import type { Execution } from "../world/endpoint/execution.ts";
import type { World } from "../world/world.ts";

/**
 * Finds whole answers that weren't produced by the request's own chain of stages
 * from its input, and answers with invalid records.
 */
export function findWrongAnswers(world: World): readonly string[] {
  return world.callers.submissions.flatMap((submission) =>
    submission.attempts.flatMap((attempt) => [
      ...attempt.faults.map((fault) => `${submission.token}: ${fault}`),
      ...findWrongText(world, submission, attempt),
    ])
  );
}

function findWrongText(
  world: World,
  submission: Submission,
  attempt: Attempt,
): readonly string[] {
  const { ending, text } = attempt;
  if (ending?.type !== "answered" || ending.record.type !== "end") return [];
  const executions = world.executions.ofToken(submission.token);
  const pipeline = world.configuration.pipelines.find(({ id }) =>
    id === submission.kind.pipeline
  );
  const stages = (pipeline?.stages ?? []).map(({ id }) => id);
  if (
    isProducedBy(executions, { stages, text, input: submission.request.input })
  ) {
    return [];
  }
  return [
    `${submission.token} was answered "${text}", which no stage produced`,
  ];
}

/** True if a chain of executions leads from the input to the text. */
function isProducedBy(executions: readonly Execution[], chain: {
  readonly stages: readonly string[];
  readonly text: string;
  readonly input: string;
}): boolean {
  const { stages, text, input } = chain;
  const last = stages.at(-1);
  if (last === undefined) return text === input;
  return executions.some(({ call, output }) =>
    call.stageId === last && output === text &&
    isProducedBy(executions, {
      stages: stages.slice(0, -1),
      text: call.input,
      input,
    })
  );
}

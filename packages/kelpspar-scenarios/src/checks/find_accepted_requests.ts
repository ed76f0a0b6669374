import type { StepArguments } from "../language/step_arguments.ts";
import type { World } from "../world/world.ts";

/** Finds requests that a daemon accepted during a period without any. */
export function findAcceptedRequests(
  world: World,
  values: StepArguments,
): readonly string[] {
  const daemon = world.daemon(values.number("daemon"));
  const begin = world.callers.submissions[0]?.sentAt ?? 0;
  const from = begin + values.milliseconds("from");
  const to = begin + values.milliseconds("to");
  return world.callers.submissions.flatMap(({ token, attempts }) =>
    attempts
      .filter((attempt) =>
        attempt.daemon === daemon && attempt.context !== undefined &&
        attempt.sentAt >= from && attempt.sentAt <= to
      )
      .map(({ sentAt }) => `${token} was accepted at ${Math.round(sentAt)} ms`)
  );
}

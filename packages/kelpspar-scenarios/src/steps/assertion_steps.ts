import type { StepDefinition, StepTable } from "../language/step_definition.ts";
import type { World } from "../world/world.ts";
import { findCutRequests } from "../checks/find_cut_requests.ts";
import { findFalseRefusals } from "../checks/find_false_refusals.ts";
import { findLateCalls } from "../checks/find_late_calls.ts";
import { findLateRefusals } from "../checks/find_late_refusals.ts";
import { findOverdueCalls } from "../checks/find_overdue_calls.ts";
import { findRepeatedRuns } from "../checks/find_repeated_runs.ts";
import { findAcceptedRequests } from "../checks/find_accepted_requests.ts";
import { findWrongAnswers } from "../checks/find_wrong_answers.ts";
import { findWrongEndings } from "../checks/find_wrong_endings.ts";
import { findErrors } from "../checks/find_errors.ts";
import { none } from "./none.ts";

/** Assertions of the invariants: the brief's "What must always hold". */
export const ASSERTION_STEPS: StepTable = {
  "no request ran twice": holds(
    "No request marked non-idempotent ran its acting stage more than once, at any endpoint",
    findRepeatedRuns,
  ),
  "no refusal said not_run of a request that ran": holds(
    "No endpoint ran what was refused as not run, before or after",
    findFalseRefusals,
  ),
  "no answer was foreign, cut or doubled": holds(
    "Every whole answer is what the request's own stages made, from its input on, and its records fit",
    findWrongAnswers,
  ),
  "every caller has exactly one final answer for each submission": holds(
    "Each submission to a daemon that lives has a final record, and a non-idempotent request no two different answers",
    findWrongEndings,
  ),
  "every refusal came within {time:duration}": {
    meaning: "Whoever gets no whole answer is told so early",
    handler: (world, values) =>
      none(findLateRefusals(world, values.milliseconds("time"))),
  },
  "no leaving endpoint received a call later than {time:duration}": {
    meaning: "Counted from when its source said so, the VM list's lag included",
    handler: (world, values) =>
      none(findLateCalls(world, values.milliseconds("time"))),
  },
  "no stage began after its request's deadline": holds(
    "No call left a daemon with no time left",
    findOverdueCalls,
  ),
  "{endpoint:name} received calls in the last {time:duration}": {
    meaning: "A new incarnation is used again",
    handler: (world, values) => {
      const { arrivalTimes } = world.endpoint(values.text("endpoint"));
      const from = world.timer.now() - values.milliseconds("time");
      if (arrivalTimes.some((at) => at >= from)) return;
      throw new Error("The endpoint received no call");
    },
  },
  "daemon {daemon:number} took no request from {from:duration} to {to:duration}":
    {
      meaning: "Counted from the site's first load",
      handler: (world, values) => none(findAcceptedRequests(world, values)),
    },
  "the planned stops cut off nothing": holds(
    "Each ended, and after every request that its daemon had taken",
    findCutRequests,
  ),
  "no daemon reported an internal error": holds(
    "Nothing was logged as an error",
    findErrors,
  ),
};

function holds(
  meaning: string,
  find: (world: World) => readonly string[],
): StepDefinition {
  return { meaning, handler: (world) => none(find(world)) };
}

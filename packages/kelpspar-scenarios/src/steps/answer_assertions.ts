import type { Submission } from "../world/callers/submission.ts";
import type { StepTable } from "../language/step_definition.ts";
import { isAttained } from "../world/callers/submission.ts";
import { engineShare } from "../checks/engine_share.ts";
import { findMissingRepeats } from "../checks/find_missing_repeats.ts";
import { none } from "./none.ts";
import { formatPercent } from "./format_percent.ts";

/** Assertions about the answers that callers received. */
export const ANSWER_ASSERTIONS: StepTable = {
  "attainment is at least {share:percent}": {
    meaning:
      "At least this share of the callers got a whole answer within its deadline",
    handler: (world, values) =>
      checkAttainment(world.callers.submissions, values.share("share")),
  },
  "attainment of {account:name} is at least {share:percent}": {
    meaning: "The same, of the callers of one client account",
    handler: (world, values) =>
      checkAttainment(
        world.callers.submissions.filter(({ accountId }) =>
          accountId === values.text("account")
        ),
        values.share("share"),
      ),
  },
  "{account:name} got at least {share:percent} of the engines' calls from {from:duration} to {to:duration}":
    {
      meaning:
        "Of the calls that engines began to run in that time, counted from the site's first load",
      handler: (world, values) => {
        const share = engineShare(world, {
          accountId: values.text("account"),
          from: values.milliseconds("from"),
          to: values.milliseconds("to"),
        });
        if (share >= values.share("share")) return;
        throw new Error(`The share is ${formatPercent(share)}`);
      },
    },
  "every answer that was asked for again was given again": {
    meaning: "The last asking got the first answer, word for word",
    handler: (world) => none(findMissingRepeats(world)),
  },
};

function checkAttainment(
  submissions: readonly Submission[],
  wanted: number,
): void {
  const attained = submissions.filter(isAttained).length;
  const share = attained / submissions.length;
  if (share >= wanted) return;
  throw new Error(
    `Attainment is ${
      formatPercent(share)
    }: ${attained} of ${submissions.length}`,
  );
}

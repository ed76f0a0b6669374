import type { StepTable } from "../language/step_definition.ts";
import { findLaggingDaemons } from "../checks/find_lagging_daemons.ts";
import { findLostChanges } from "../checks/find_lost_changes.ts";
import { findReverts } from "../checks/find_reverts.ts";
import { findSlowChanges } from "../checks/find_slow_changes.ts";
import { none } from "./none.ts";

/** Assertions about the active configuration. */
export const CONFIGURATION_ASSERTIONS: StepTable = {
  "every accepted change was in force everywhere within {time:duration}": {
    meaning:
      "At every daemon that ran all that time, from when its operator was told",
    handler: (world, values) =>
      none(findSlowChanges(world, values.milliseconds("time"))),
  },
  "no daemon went back to a lower revision": {
    meaning: "The revision in force only grew, at every daemon",
    handler: (world) => none(findReverts(world)),
  },
  "no accepted change was lost": {
    meaning:
      "The store holds each change under the revision its operator was told",
    handler: async (world) => none(await findLostChanges(world)),
  },
  "no daemon serves an older revision than one in force elsewhere for {time:duration}":
    {
      meaning: "Of the daemons that started before that and reach another one",
      handler: (world, values) =>
        none(findLaggingDaemons(world, values.milliseconds("time"))),
    },
  "revision {revision:number} is in force at every daemon": {
    meaning: "At every daemon that runs now",
    handler: (world, values) => {
      const revision = values.number("revision");
      const others = world.daemons.filter((daemon) =>
        daemon.isRunning && daemon.revision !== revision
      );
      none(
        others.map((daemon) =>
          `${daemon.daemonId} has revision ${daemon.revision}`
        ),
      );
    },
  },
  "{count:number} changes were accepted": {
    meaning: "So many operators' changes, the first one not counted",
    handler: (world, values) => {
      const accepted =
        world.operators.changes.filter(({ revision }) => revision !== undefined)
          .length - 1;
      if (accepted === values.number("count")) return;
      throw new Error(`${accepted} changes were accepted`);
    },
  },
  "{count:number} changes met a conflict": {
    meaning: "So many operators were told that another change came first",
    handler: (world, values) => {
      const conflicts =
        world.operators.changes.filter(({ error }) =>
          error?.result === "revision_conflict"
        ).length;
      if (conflicts === values.number("count")) return;
      throw new Error(`${conflicts} changes met a conflict`);
    },
  },
};

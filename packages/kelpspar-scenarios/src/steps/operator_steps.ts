import type { Configuration } from "kelpspar-configuration";
import type { StepTable } from "../language/step_definition.ts";
import type { World } from "../world/world.ts";
import { withDelayedSteps } from "../language/delayed_steps.ts";

/** Steps that simulate operators. */
export const OPERATOR_STEPS: StepTable = withDelayedSteps({
  "daemon {daemon:number} is stopped": {
    meaning: "A planned stop, as by SIGTERM",
    handler: (world, values) => {
      void world.daemon(values.number("daemon")).stop();
    },
  },
  "daemon {daemon:number} is stopped and starts anew once it has ended": {
    meaning: "As an upgrade does: a planned stop, then a new incarnation",
    handler: (world, values) => {
      const daemon = world.daemon(values.number("daemon"));
      void daemon.stop().then(() => world.startDaemon(daemon.daemonId));
    },
  },
  "an operator drains daemon {daemon:number}": {
    meaning: "It goes on running what it has and takes nothing new",
    handler: (world, values) => {
      const daemon = world.daemon(values.number("daemon"));
      return world.operators.drain(daemon, {
        kind: "daemon",
        id: daemon.daemonId,
        incarnation: world.vms.row(daemon.daemonId).incarnation,
        onAccepted: () => {},
      });
    },
  },
  "an operator applies a change at daemon {daemon:number}": {
    meaning:
      "On top of the revision in force there; a lost answer is settled by reading back",
    handler: (world, values) =>
      world.operators.apply(
        world.daemon(values.number("daemon")),
        nextConfiguration(world),
      ),
  },
  "an operator applies {count:number} changes at daemon {daemon:number} over {time:duration}":
    {
      meaning: "One after the other, each on top of what is in force there",
      handler: (world, values) => {
        const count = values.number("count");
        const intervalMilliseconds = values.milliseconds("time") / count;
        for (let index = 0; index < count; index++) {
          world.actionQueue.schedule(
            intervalMilliseconds * index,
            () =>
              world.operators.apply(
                world.daemon(values.number("daemon")),
                nextConfiguration(world),
              ),
          );
        }
      },
    },
  "operators apply different changes at daemon {one:number} and daemon {other:number}":
    {
      meaning: "At the same moment, each on top of what is in force there",
      handler: async (world, values) => {
        for (const name of ["one", "other"]) {
          const daemon = world.daemon(values.number(name));
          await world.operators.apply(daemon, nextConfiguration(world));
        }
      },
    },
});

/** Creates a configuration that differs from all earlier ones. */
function nextConfiguration(world: World): Configuration {
  const { configuration, operators } = world;
  const { limits } = configuration;
  return {
    ...configuration,
    limits: {
      ...limits,
      addressKeepMilliseconds: limits.addressKeepMilliseconds +
        operators.changes.length,
    },
  };
}

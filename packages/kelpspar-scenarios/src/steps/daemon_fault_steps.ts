import type { StepArguments } from "../language/step_arguments.ts";
import type { StepTable } from "../language/step_definition.ts";
import type { WorldDaemon } from "../world/daemon/world_daemon.ts";
import type { NetworkLink } from "../world/network/network_link.ts";
import type { World } from "../world/world.ts";
import { withDelayedSteps } from "../language/delayed_steps.ts";

/** Steps that inject faults into daemons and their connections. */
export const DAEMON_FAULT_STEPS: StepTable = withDelayedSteps({
  "daemon {daemon:number} dies": {
    meaning: "The process ends without a word; its connections break",
    handler: (world, values) => daemonOf(world, values).die(),
  },
  "daemon {daemon:number} starts anew": {
    meaning: "A new incarnation starts under the same address, knowing nothing",
    handler: (world, values) => {
      const before = daemonOf(world, values);
      if (before.isAlive) before.die();
      world.startDaemon(before.daemonId);
    },
  },
  "daemon {daemon:number} pauses for {time:duration}": {
    meaning:
      "The process stands still, then wakes with its old beliefs: it takes in what arrived, then its overdue alarms fire",
    handler: (world, values) => pause(world, values, "arrivals"),
  },
  "daemon {daemon:number} pauses for {time:duration} and looks at its alarms first":
    {
      meaning: "The same, but its overdue alarms fire first when it wakes",
      handler: (world, values) => pause(world, values, "alarms"),
    },
  "daemon {daemon:number} is cut off from {party:name} for {time:duration}": {
    meaning:
      "Nothing passes between the daemon and `table`, `vm-list`, an endpoint or another daemon such as `daemon-2`",
    handler: (world, values) => {
      const { daemonId } = daemonOf(world, values);
      cutLinksFor(world, {
        links: [world.network.link(daemonId, values.text("party"))],
        milliseconds: values.milliseconds("time"),
      });
    },
  },
  "daemon {daemon:number} is cut off from the other daemons for {time:duration}":
    {
      meaning: "Nothing passes between the daemon and the others",
      handler: (world, values) => {
        const { daemonId } = daemonOf(world, values);
        const links = world.daemons
          .filter((other) => other.daemonId !== daemonId)
          .map((other) => world.network.link(daemonId, other.daemonId));
        cutLinksFor(world, {
          links,
          milliseconds: values.milliseconds("time"),
        });
      },
    },
  "the way to {party:name} takes {time:duration} longer": {
    meaning: "One way, of all that the party sends and receives",
    handler: (world, values) =>
      world.network.setExtraDelay(
        values.text("party"),
        values.milliseconds("time"),
      ),
  },
  "open connections of daemon {daemon:number} go silent": {
    meaning: "They carry nothing any more, for good; new ones work",
    handler: (world, values) => {
      const { daemonId } = daemonOf(world, values);
      for (const link of world.network.linksOf(daemonId)) link.goSilent();
    },
  },
  "open connections to {party:name} go silent": {
    meaning: "The same, of every daemon's to one party",
    handler: (world, values) => {
      const links = world.network.linksOf(values.text("party"));
      for (const link of links) link.goSilent();
    },
  },
});

function daemonOf(world: World, values: StepArguments): WorldDaemon {
  return world.daemon(values.number("daemon"));
}

function pause(
  world: World,
  values: StepArguments,
  first: "arrivals" | "alarms",
): void {
  const { process } = daemonOf(world, values);
  process.pause();
  world.actionQueue.schedule(
    values.milliseconds("time"),
    () => process.resume(first),
  );
}

function cutLinksFor(world: World, options: {
  readonly links: readonly NetworkLink[];
  readonly milliseconds: number;
}): void {
  const { links, milliseconds } = options;
  for (const link of links) link.cut();
  world.actionQueue.schedule(milliseconds, () => {
    for (const link of links) link.heal();
  });
}

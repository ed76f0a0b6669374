import type { TableFaults } from "kelpspar-standins";
import type { StepTable } from "../language/step_definition.ts";
import type { World } from "../world/world.ts";
import { withDelayedSteps } from "../language/delayed_steps.ts";

/** Steps that inject faults into the platform's services. */
export const PLATFORM_FAULT_STEPS: StepTable = withDelayedSteps({
  "the table is down for {time:duration}": {
    meaning: "It refuses every call",
    handler: (world, values) =>
      outage(world, "unavailable", values.milliseconds("time")),
  },
  "the table drops connections for {time:duration}": {
    meaning: "It drops every connection; nothing is written",
    handler: (world, values) =>
      outage(world, "reset", values.milliseconds("time")),
  },
  "the table hangs for {time:duration}": {
    meaning: "It answers nothing; nothing is written",
    handler: (world, values) =>
      outage(world, "hang", values.milliseconds("time")),
  },
  "the table takes {latency:duration} for each call": {
    meaning: "Every call arrives so much later",
    handler: (world, values) =>
      world.table.setFaults({
        latencyMilliseconds: values.milliseconds("latency"),
      }),
  },
  "the table loses the answer of every {every:ordinal} write": {
    meaning: "The write takes effect and its connection drops",
    handler: (world, values) =>
      world.table.setFaults({ loseAnswerEvery: values.ordinal("every") }),
  },
  "the table swallows the answer of every {every:ordinal} write": {
    meaning: "The write takes effect and nothing comes back, ever",
    handler: (world, values) =>
      world.table.setFaults({
        loseAnswerEvery: values.ordinal("every"),
        lostAnswer: "hang",
      }),
  },
  "the table delays every {every:ordinal} write by {time:duration}": {
    meaning: "The write's connection drops, and it takes effect later",
    handler: (world, values) =>
      world.table.setFaults({
        delayWriteEvery: values.ordinal("every"),
        delayWriteMilliseconds: values.milliseconds("time"),
      }),
  },
  "the table takes {rate:number} writes a second": {
    meaning: "It refuses what goes beyond",
    handler: (world, values) =>
      world.table.setFaults({ transactionsPerSecond: values.number("rate") }),
  },
  "the table is well again": {
    meaning: "It has none of these faults any more",
    handler: (world) => world.table.setFaults(NO_TABLE_FAULTS),
  },
  "the VM list lags by {time:duration}": {
    meaning:
      "Changes of the list from here on show so much later; at first 1 s",
    handler: (world, values) => {
      world.vms.setLag(values.milliseconds("time"));
    },
  },
});

const NO_TABLE_FAULTS: Partial<TableFaults> = {
  outage: "none",
  latencyMilliseconds: 0,
  loseAnswerEvery: 0,
  lostAnswer: "reset",
  delayWriteEvery: 0,
  transactionsPerSecond: 0,
};

function outage(
  world: World,
  kind: TableFaults["outage"],
  milliseconds: number,
): void {
  world.table.setFaults({ outage: kind });
  world.actionQueue.schedule(
    milliseconds,
    () => world.table.setFaults({ outage: "none" }),
  );
}

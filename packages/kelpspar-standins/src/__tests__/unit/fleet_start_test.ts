import type { BuiltProgram } from "../../wire/build_program.ts";
import { expect } from "earl";
import { after, before, test } from "node:test";
import { setTimeout as setTimeoutPromise } from "node:timers/promises";
import { buildProgram } from "../../wire/build_program.ts";
import { StartingProcesses } from "../support/starting_processes.ts";

/** Objective of the site's routes. */
const OBJECTIVE_MILLISECONDS = 1_000;
const SPREAD_MILLISECONDS = 600;
/** Requests are on time again this long after the first daemon is ready. */
const RECOVERY_MILLISECONDS = 3_000;
const ON_TIME_SHARE = 0.8;
const REQUEST_INTERVAL_MILLISECONDS = 25;
const OBSERVED_MILLISECONDS = 1_000;
const START_MILLISECONDS = 10_000;

let program: BuiltProgram;

before(() => {
  program = buildProgram();
});

after(() => {
  program.remove();
  setImmediate(() => process.exit());
});

interface Outcome {
  readonly sentAt: number;
  readonly isOnTime: boolean;
}

async function sendOne(daemons: StartingProcesses): Promise<Outcome> {
  const sentAt = performance.now();
  const isServed = await daemons.send();
  const tookMilliseconds = performance.now() - sentAt;
  return {
    sentAt,
    isOnTime: isServed && tookMilliseconds <= OBJECTIVE_MILLISECONDS,
  };
}

/** Sends requests at a steady rate until the observed second is over. */
async function runLoad(
  daemons: StartingProcesses,
): Promise<readonly Outcome[]> {
  const latestStart = performance.now() + START_MILLISECONDS;
  const outcomes: Promise<Outcome>[] = [];
  const endsAt = (): number =>
    Math.min(daemons.firstReadyAt, latestStart) + RECOVERY_MILLISECONDS +
    OBSERVED_MILLISECONDS;
  while (performance.now() < endsAt()) {
    outcomes.push(sendOne(daemons));
    await setTimeoutPromise(REQUEST_INTERVAL_MILLISECONDS);
  }
  return await Promise.all(outcomes);
}

for (const count of [8, 16]) {
  // Guards against a fleet that lost power and takes as many seconds as it is
  // large to agree on a coordinator, while its daemons compete for the stages.
  test(`${count} daemons that start together serve on time in three seconds`, async () => {
    const daemons = new StartingProcesses();
    try {
      const spreadMilliseconds = SPREAD_MILLISECONDS;
      await daemons.start(program, { count, spreadMilliseconds });
      const outcomes = await runLoad(daemons);
      const from = daemons.firstReadyAt + RECOVERY_MILLISECONDS;
      const observed = outcomes.filter(({ sentAt }) => sentAt >= from);
      const onTime = observed.filter(({ isOnTime }) => isOnTime).length;
      const coordinators = new Set(
        daemons.coordinators.filter(({ at }) => at >= from).map(({ id }) => id),
      );
      expect(observed.length).toBeGreaterThan(0);
      expect(onTime).toBeGreaterThanOrEqual(ON_TIME_SHARE * observed.length);
      expect(coordinators.size).toEqual(1);
    } finally {
      await daemons.end();
    }
  });
}

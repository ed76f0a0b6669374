import { expect } from "earl";
import { test } from "node:test";
import { LOAD_KINDS } from "../../world/callers/load_kind.ts";
import { PATIENT_RETRIES } from "../../world/callers/retry_plan.ts";
import { World } from "../../world/world.ts";

/** What happened in a world with failures, as text. */
async function runWorld(seed: number): Promise<string> {
  const world = new World({ seed, mutation: {} });
  await world.build({ daemons: 2, engines: 2, plain: 2 });
  const kind = LOAD_KINDS["booking confirmations"];
  if (kind === undefined) throw new Error("There is no such load");
  for (let number = 0; number < 10; number++) {
    world.actionQueue.schedule(number * 50, () => {
      world.callers.submit({
        kind,
        accountId: "growers",
        deadlineMilliseconds: 3_000,
        retries: PATIENT_RETRIES,
      });
    });
  }
  world.table.setFaults({ loseAnswerEvery: 2 });
  world.actionQueue.schedule(300, () => world.daemon(1).die());
  await world.advance(4_000);
  world.close();
  return JSON.stringify([
    world.executions.all,
    world.callers.submissions.map(({ attempts }) =>
      attempts.map(({ ending, endedAt, text }) => [ending, endedAt, text])
    ),
  ]);
}

test("a seed gives the same world each time, another seed another one", async () => {
  const first = await runWorld(3);
  expect(await runWorld(3)).toEqual(first);
  expect(await runWorld(4)).not.toEqual(first);
});

// Symptom: a daemon of a scenario acts while it should stand still, and a
// scenario about paused daemons proves nothing.
// Sequence: the daemon pauses, its alarms fall due, it wakes.
// Cause: alarms or arrivals that are not held.
for (const first of ["alarms", "arrivals"] as const) {
  test(`a paused daemon does nothing and catches up when it wakes, ${first} first`, async () => {
    const world = new World({ seed: 1, mutation: {} });
    await world.build({ daemons: 2, engines: 1, plain: 1 });
    const { process } = world.daemon(1);
    const { fleet } = world.daemon(2).core;
    const events: string[] = [];
    process.timer.registerTimeout(() => events.push("alarms"), 1_000);
    process.pause();
    void process.whenRunning().then(() => events.push("arrivals"));
    // What it sent right before its pause still arrives, and shows with the
    // other daemon's next listing, half a second later.
    await world.advance(600);
    const sequenceBefore = fleet.members[0]?.digest?.sequence;
    await world.advance(3_000);
    expect(events).toEqual([]);
    expect(fleet.members[0]?.digest?.sequence).toEqual(sequenceBefore);
    await process.resume(first);
    expect(events.length).toEqual(2);
    expect(events[0]).toEqual(first);
    world.close();
  });
}

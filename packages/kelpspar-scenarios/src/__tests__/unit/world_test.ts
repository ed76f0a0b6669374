import { expect } from "earl";
import { test } from "node:test";
import { LOAD_KINDS } from "../../world/callers/load_kind.ts";
import { PATIENT_RETRIES } from "../../world/callers/retry_plan.ts";
import { World } from "../../world/world.ts";

/** Serializes the executions and attempts of a world with failures. */
async function runWorld(seed: number): Promise<string> {
  const world = new World({ seed, mutation: {} });
  await world.build({ daemons: 2, engines: 2, plain: 2 });
  const kind = LOAD_KINDS["booking confirmations"];
  if (kind === undefined) throw new Error('No load "booking confirmations"');
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

test("runs with the same seed are identical, runs with another seed differ", async () => {
  const first = await runWorld(3);
  expect(await runWorld(3)).toEqual(first);
  expect(await runWorld(4)).not.toEqual(first);
});

// Guards against a paused daemon that still acts, which would invalidate the
// scenarios with paused daemons: it pauses, its timeouts become due, it resumes.
// The failure occurs if timeouts or arrivals aren't deferred during the pause.
for (const first of ["alarms", "arrivals"] as const) {
  test(`a paused daemon does nothing and catches up when it resumes, ${first} first`, async () => {
    const world = new World({ seed: 1, mutation: {} });
    await world.build({ daemons: 2, engines: 1, plain: 1 });
    const { process } = world.daemon(1);
    const { fleet } = world.daemon(2).core;
    const events: string[] = [];
    process.timer.registerTimeout(() => events.push("alarms"), 1_000);
    process.pause();
    void process.whenRunning().then(() => events.push("arrivals"));
    // Messages sent right before the pause still arrive; the other daemon shows
    // them with its next listing, half a second later.
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

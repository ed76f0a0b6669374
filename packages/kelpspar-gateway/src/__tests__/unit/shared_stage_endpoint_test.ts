import { expect } from "earl";
import { test } from "node:test";
import { SHARED_SERVICE, SharedStages } from "../support/shared_stages.ts";

const PIECES = 16;
const FORMER_CHAINS = 16;
const NEXT_CHAINS = 8;
const INTERVAL_MILLISECONDS = 5;

// Guards against repeats of pieces that wait for another daemon's calls.
test("a coordinator that takes over from one with a backlog repeats no piece", async () => {
  const stages = new SharedStages();
  const former = stages.createCoordinator();
  const next = stages.createCoordinator();
  for (let index = 0; index < FORMER_CHAINS; index++) {
    void stages.run(former, { attemptId: `former-${index}`, pieces: PIECES });
  }
  for (let index = 0; index < NEXT_CHAINS; index++) {
    await stages.timer.advance(INTERVAL_MILLISECONDS);
    void stages.run(next, { attemptId: `next-${index}`, pieces: PIECES });
  }
  await stages.timer.advance(9_000);
  expect(stages.repeats).toEqual(0);
  expect(stages.outcomes).toEqual(
    new Array<string>(FORMER_CHAINS + NEXT_CHAINS).fill("done"),
  );
});

const FAULTS: readonly (readonly [string, number])[] = [
  ["slow", 12],
  ["silent", Number.POSITIVE_INFINITY],
];

for (const [name, slowness] of FAULTS) {
  // Guards against chains that wait for some endpoints while others are idle.
  test(`pieces of a call to a ${name} endpoint are made elsewhere`, async () => {
    const faulty = ["0", "1"].map((index) => ({
      endpointId: `${SHARED_SERVICE}-${index}`,
      from: 0,
      until: 60_000,
      slowness,
    }));
    const stages = new SharedStages({ faults: faulty });
    const coordinator = stages.createCoordinator();
    for (let index = 0; index < 4; index++) {
      void stages.run(coordinator, { attemptId: `a${index}`, pieces: PIECES });
    }
    await stages.timer.advance(1_500);
    expect(stages.outcomes).toEqual(new Array<string>(4).fill("done"));
  });
}

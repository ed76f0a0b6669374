import { expect } from "earl";
import { test } from "node:test";
import { SharedStages } from "../support/shared_stages.ts";

const CHAINS = 8;
const PIECES = 6;
const INTERVAL_MILLISECONDS = 100;

for (const share of [0.7, 0.9, 1]) {
  // Guards against repeats of pieces for which another daemon left no room.
  test(`a coordinator that starts while results fill ${share} of the room repeats no piece`, async () => {
    const stages = new SharedStages({
      room: 25,
      foreign: { from: 0, until: 3_000, share },
    });
    const coordinator = stages.createCoordinator();
    for (let index = 0; index < CHAINS; index++) {
      void stages.run(coordinator, { attemptId: `a${index}`, pieces: PIECES });
      await stages.timer.advance(INTERVAL_MILLISECONDS);
    }
    await stages.timer.advance(9_000);
    expect(stages.repeats).toEqual(0);
    expect(stages.outcomes).toEqual(new Array<string>(CHAINS).fill("done"));
  });
}

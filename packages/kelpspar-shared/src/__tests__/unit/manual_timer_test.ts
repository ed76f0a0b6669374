import { test } from "node:test";
import { expect } from "earl";
import { ManualTimer } from "../../mod.ts";

test("timers due at the same time fire in the order of their registration", async () => {
  const timer = new ManualTimer();
  const fired: string[] = [];
  timer.registerTimeout(() => fired.push("first"), 10);
  timer.registerTimeout(() => fired.push("second"), 10);
  timer.registerTimeout(() => fired.push("earlier"), 5);
  await timer.advance(10);
  expect(fired).toEqual(["earlier", "first", "second"]);
});

test("the teardown of an interval stops it", async () => {
  const timer = new ManualTimer();
  let count = 0;
  const stop = timer.registerInterval(() => count++, 10);
  await timer.advance(35);
  stop();
  await timer.advance(100);
  expect(count).toEqual(3);
});

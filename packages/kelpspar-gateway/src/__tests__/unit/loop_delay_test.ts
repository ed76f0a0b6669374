import { expect } from "earl";
import { test } from "node:test";
import { ManualTimer } from "kelpspar-shared";
import { LoopDelay } from "../../load/loop_delay.ts";

test("the delay grows while the event loop is held up and fades after it", async () => {
  const timer = new ManualTimer();
  const delay = new LoopDelay(timer);
  delay.register();
  await timer.advance(500);
  expect(delay.milliseconds).toEqual(0);
  timer.jump(250);
  expect(delay.milliseconds).toEqual(200);
  await timer.advance(0);
  expect(Math.round(delay.milliseconds)).toEqual(60);
  await timer.advance(1_000);
  expect(delay.milliseconds < 1).toEqual(true);
});

test("a delay is 0 while it isn't sampled", () => {
  const timer = new ManualTimer();
  const delay = new LoopDelay(timer);
  const stop = delay.register();
  timer.jump(1_000);
  stop();
  expect(delay.milliseconds).toEqual(0);
});

// Guards against a coordinator that refuses every chain for good: without open chains its delay isn't sampled, and none is admitted.
test("a delay isn't kept when sampling ends", async () => {
  const timer = new ManualTimer();
  const delay = new LoopDelay(timer);
  const stop = delay.register();
  timer.jump(5_000);
  await timer.advance(0);
  expect(delay.milliseconds > 1_000).toEqual(true);
  stop();
  expect(delay.milliseconds).toEqual(0);
});

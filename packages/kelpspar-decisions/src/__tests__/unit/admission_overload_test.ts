import { test } from "node:test";
import { expect } from "earl";
import { SeededRandom } from "kelpspar-shared";
import { Admission, StageTimeEstimator } from "../../admission/mod.ts";
import { FairQueue } from "../../fairness/mod.ts";

const DEADLINE = 3_000;
const PLAN = [
  { stageId: "rank", slots: 8, mean: 40 },
  { stageId: "generate", slots: 10, mean: 500 },
];

interface Call {
  readonly caller: { nextAt: number; startedAt: number };
  readonly startedAt: number;
  readonly isProbe: boolean;
  readonly sentAt: number;
  readonly end: number;
}

/**
 * Simulates closed-loop callers that send a request, wait for the answer, think
 * for one second and send again. A refused caller retries after the returned
 * delay; a caller without an answer sends again at its deadline. Returns the
 * answers in time and the requests sent, per second, over the last 60 of 90
 * seconds.
 */
function run(
  count: number,
  admits: boolean,
): { goodput: number; offered: number } {
  const random = new SeededRandom(count);
  const estimator = new StageTimeEstimator({ windowMilliseconds: 10_000 });
  const admission = new Admission({ estimator, random });
  const maximum = Number.MAX_VALUE;
  const bounds = {
    maximumRequests: maximum,
    maximumBytes: maximum,
    maximumWaitMilliseconds: maximum,
  };
  const stages = PLAN.map((stage) => {
    const queue = new FairQueue<Call>({ random, boundsOf: () => bounds });
    queue.setConcurrency(stage.slots);
    return { ...stage, queue, running: [] as Call[] };
  });
  const callers = Array.from({ length: count }, (_, place) => {
    return { nextAt: 20 * place, startedAt: 0 };
  });
  let [now, goodput, offered] = [0, 0, 0];
  const settle = ({ caller, startedAt }: Call, wait: number): void => {
    if (caller.startedAt === startedAt) caller.nextAt = now + wait;
  };
  const enter = (call: Call, place: number): void => {
    const ahead = stages.slice(place);
    const decision = admission.decide({
      pipelineId: "plan",
      point: place === 0 ? "arrival" : "stage",
      remainingMilliseconds: call.startedAt + DEADLINE - now,
      stages: ahead.map(({ stageId, queue }) => {
        return { stageId, waitMilliseconds: queue.estimateWait("a", 5) };
      }),
      repeatable: true,
      isProbe: call.isProbe,
    }, now);
    if (admits && !decision.run) {
      return settle(call, decision.retryAfterMilliseconds);
    }
    ahead[0]?.queue.enqueue({
      accountId: "a",
      priority: 5,
      minimumRemainingMilliseconds: estimator.remainingTimes(
        "plan",
        ahead.map(({ stageId }) => stageId),
        now,
      ).minimum,
      deadlineAt: admits ? call.startedAt + DEADLINE : maximum,
      estimatedCost: ahead[0].mean,
      bytes: 1,
      item: { ...call, isProbe: decision.run && decision.isProbe },
    }, now);
  };
  const finish = (call: Call, place: number): void => {
    const { stageId = "" } = PLAN[place] ?? {};
    const milliseconds = now - call.sentAt;
    estimator.observe("plan", stageId, { milliseconds, now });
    if (place + 1 < PLAN.length) return enter(call, place + 1);
    if (now > call.startedAt + DEADLINE) return;
    settle(call, 1_000);
    if (now > 30_000) goodput += 1 / 60;
  };
  for (; now < 90_000; now++) {
    for (const caller of callers.filter(({ nextAt }) => nextAt <= now)) {
      caller.startedAt = now;
      caller.nextAt = now + DEADLINE;
      if (now > 30_000) offered += 1 / 60;
      enter({ caller, startedAt: now, isProbe: false, sentAt: 0, end: 0 }, 0);
    }
    stages.forEach(({ queue, running, slots, mean }, place) => {
      const ended = running.filter((call) => call.end <= now);
      ended.forEach((call) => running.splice(running.indexOf(call), 1));
      ended.forEach((call) => finish(call, place));
      queue.takeExpired(now).forEach(({ item }) => settle(item, 100));
      while (running.length < slots) {
        const call = queue.dequeue(now)?.item;
        if (call === undefined) return;
        const end = now + mean * (0.5 + random.next());
        running.push({ ...call, sentAt: now, end });
      }
    });
  }
  return { goodput, offered };
}

test("goodput at four times the capacity equals that at capacity", () => {
  // Guards against calls that run although their callers have given up: with
  // four times as many callers, queues grow past the deadline, the endpoints
  // are busy and no answer is in time.
  const once = run(31, true);
  const fourTimes = run(210, true);
  const without = run(210, false);
  // Refused callers don't retry at an increasing rate.
  const load = fourTimes.offered / once.offered;
  expect(load >= 4 && load <= 6).toEqual(true);
  expect(fourTimes.goodput >= 0.9 * once.goodput).toEqual(true);
  expect(without.goodput <= 0.1 * once.goodput).toEqual(true);
});

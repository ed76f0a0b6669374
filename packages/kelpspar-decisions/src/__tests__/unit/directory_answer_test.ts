import type { Member } from "../../membership/mod.ts";
import { test } from "node:test";
import { expect } from "earl";
import { SeededRandom } from "kelpspar-shared";
import { buildAddressAnswer, redirectCaller } from "../../directory/mod.ts";
import { NO_ENDPOINT_LOADS } from "../../membership/mod.ts";

const DAEMONS = 8;
const KEEP = 5_000;
const SPARE_SHARE_AGE_STEPS = 20;

function memberOf(
  port: number,
  fields: Partial<Member> & { spareShare?: number } = {},
): Member {
  const { spareShare = 0.5, availabilityZone = "a", ...rest } = fields;
  const place = { address: "10.0.0.1", port, availabilityZone };
  const daemonId = `d${port}`;
  const digest = {
    ...place,
    daemonId,
    incarnation: `p${port}`,
    sequence: 1,
    peerPort: 1,
    state: "serving" as const,
    keyEpoch: 1,
    revision: 1,
    spareShare,
    loads: NO_ENDPOINT_LOADS,
    changedReports: [],
    suspectEndpoints: [],
    usage: { accountIds: [], costs: [] },
  };
  return { ...place, daemonId, state: "live", digest, ...rest };
}

type Answer = { weights: readonly number[]; keep: number };
type Rule = (spareShares: readonly number[], random: SeededRandom) => Answer;

const mostSpare: Rule = (spareShares) => {
  const maximum = Math.max(...spareShares);
  return {
    weights: spareShares.map((one) => one === maximum ? 1 : 0),
    keep: KEEP,
  };
};

const proportional: Rule = (spareShares) => (
  { weights: spareShares.map((one) => Math.max(0.001, one)), keep: KEEP }
);

const product: Rule = (spareShares, random) => {
  const { daemons, keepMilliseconds } = buildAddressAnswer({
    members: spareShares.map((spareShare, index) =>
      memberOf(index, { spareShare })
    ),
    availabilityZone: "a",
    keepMilliseconds: KEEP,
    random,
  });
  const weightOf = (port: number): number =>
    daemons.find((one) => one.port === port)?.weight ?? 0;
  const weights = spareShares.map((_, index) => weightOf(index));
  return { weights, keep: keepMilliseconds };
};

/**
 * Closed-loop simulation: callers cache answers for about 5 s, answers use
 * spare capacity that is 2 s old, the fleet has a utilization of 80 %, and one
 * daemon joins idle. Returns the peak load of any daemon; 1 is its capacity.
 */
function peakLoad(rule: Rule): number {
  const random = new SeededRandom(3);
  const loads: number[][] = [];
  const callers = Array.from({ length: 500 }, () => ({
    weights: [1, 1, 1, 1, 1, 1, 1, 0] as readonly number[],
    until: random.next() * KEEP,
  }));
  let peak = 0;
  for (let now = 0; now < 60_000; now += 100) {
    const load = new Array<number>(DAEMONS).fill(0);
    const seen = loads.at(-SPARE_SHARE_AGE_STEPS) ?? load;
    const spareShares = seen.map((one) => Math.max(0, 1 - one));
    for (const caller of callers) {
      if (caller.until <= now) {
        const { weights, keep } = rule(spareShares, random);
        caller.weights = weights;
        caller.until = now + keep;
      }
      const sum = caller.weights.reduce((total, one) => total + one, 0);
      const unit = 0.8 * DAEMONS / sum / callers.length;
      caller.weights.forEach((weight, index) => {
        load[index] = (load[index] ?? 0) + weight * unit;
      });
    }
    loads.push(load);
    if (now > 10_000) peak = Math.max(peak, ...load);
  }
  return peak;
}

// Guards against oscillating load that overloads single daemons: a daemon joins
// idle, and as long as answers are cached, every caller prefers it, because
// many answers are computed from the same stale state.
test("a daemon that joins idle is not overloaded by a stampede", (t) => {
  const peaks = [product, proportional, mostSpare].map(peakLoad);
  const [own = 9, second = 0, third = 0] = peaks;
  t.diagnostic(
    `peak load ${own.toFixed(2)}, proportional weights ` +
      `${second.toFixed(2)}, all to the most spare ${third.toFixed(2)}`,
  );
  expect(own < 0.95 && own < second && second < third).toEqual(true);
});

test("answers list the caller's zone first and no leaving daemons", () => {
  const members = [
    ...Array.from({ length: 6 }, (_, index) => memberOf(index)),
    memberOf(10, { availabilityZone: "b" }),
    memberOf(11, { state: "leaving" }),
    memberOf(12, { state: "suspect" }),
    memberOf(13, { state: "gone" }),
    memberOf(14, { silenceMilliseconds: 90_000 }),
  ];
  const random = new SeededRandom(1);
  const options = { members, availabilityZone: "a", random };
  const keepTimes = new Set<number>();
  const firsts = new Map<string, number>();
  for (let count = 0; count < 600; count++) {
    const answer = buildAddressAnswer({ ...options, keepMilliseconds: KEEP });
    const ports = answer.daemons.map((one) => one.port);
    expect(ports.slice(0, 4).every((port) => port < 6)).toEqual(true);
    expect([ports.length, ports[4]]).toEqual([5, 10]);
    expect(answer.daemons[4]?.weight).toEqual(0.01);
    keepTimes.add(answer.keepMilliseconds);
    const [first = "", ...others] = redirectCaller(options).elsewhere;
    firsts.set(first, (firsts.get(first) ?? 0) + 1);
    expect(others.every((one) => !/:1[1-4]$/.test(one))).toEqual(true);
  }
  expect(keepTimes.size > 400).toEqual(true);
  expect(Math.min(...keepTimes) >= 3_750 && Math.max(...keepTimes) <= 6_250)
    .toEqual(
      true,
    );
  expect(firsts.size === 6 && Math.max(...firsts.values()) < 150).toEqual(true);
});

test("a full zone spills over, and a lost zone is replaced", () => {
  const full = memberOf(1, { spareShare: 0.02 });
  const far = memberOf(2, { availabilityZone: "b", spareShare: 0.8 });
  const random = new SeededRandom(1);
  const options = { availabilityZone: "a", keepMilliseconds: KEEP, random };
  const spilled = buildAddressAnswer({ ...options, members: [full, far] });
  expect((spilled.daemons[1]?.weight ?? 0) > 0.5).toEqual(true);
  const moved = buildAddressAnswer({ ...options, members: [far] });
  expect(moved.daemons.map((one) => one.weight)).toEqual([1]);
});

// Guards against callers that can't fail over: a partitioned daemon receives no
// digests, so all other daemons are suspect and the answer has one address.
test("without other live daemons, suspects are listed for a short time", () => {
  const members = [memberOf(1, { state: "suspect" })];
  const random = new SeededRandom(1);
  const options = { members, availabilityZone: "a", random };
  const self = memberOf(0).digest;
  const answer = buildAddressAnswer({
    ...options,
    ...(self === undefined ? {} : { self }),
    keepMilliseconds: KEEP,
  });
  expect(answer.daemons.map((one) => one.weight)).toEqual([1, 0.01]);
  expect(answer.keepMilliseconds <= 1_250).toEqual(true);
  expect(redirectCaller(options).elsewhere).toEqual(["10.0.0.1:1"]);
  const alone = redirectCaller({ ...options, members: [] });
  expect((alone.retryAfterMilliseconds ?? 0) >= 500).toEqual(true);
});

import type { Member } from "../../membership/mod.ts";
import { test } from "node:test";
import { expect } from "earl";
import { SeededRandom } from "kelpspar-shared";
import { answerAddresses, redirectCaller } from "../../directory/mod.ts";
import { NO_ENDPOINT_LOADS } from "../../membership/mod.ts";

const DAEMONS = 8;
const KEEP = 5_000;
const SPARES_AGE_STEPS = 20;

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
type Rule = (spares: readonly number[], random: SeededRandom) => Answer;

const mostRoom: Rule = (spares) => {
  const most = Math.max(...spares);
  return { weights: spares.map((one) => one === most ? 1 : 0), keep: KEEP };
};

const proportional: Rule = (spares) => (
  { weights: spares.map((one) => Math.max(0.001, one)), keep: KEEP }
);

const product: Rule = (spares, random) => {
  const { daemons, keepMilliseconds } = answerAddresses({
    members: spares.map((spareShare, index) => memberOf(index, { spareShare })),
    availabilityZone: "a",
    keepMilliseconds: KEEP,
    random,
  });
  const weightOf = (port: number): number =>
    daemons.find((one) => one.port === port)?.weight ?? 0;
  const weights = spares.map((_, index) => weightOf(index));
  return { weights, keep: keepMilliseconds };
};

/**
 * A closed loop: callers that hold answers for about 5 s, answers made from
 * spare room that is 2 s old, a fleet that is 80 % busy, and a daemon that
 * joins empty. Returns the highest load that any daemon reaches, 1 being full.
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
    const seen = loads.at(-SPARES_AGE_STEPS) ?? load;
    const spares = seen.map((one) => Math.max(0, 1 - one));
    for (const caller of callers) {
      if (caller.until <= now) {
        const { weights, keep } = rule(spares, random);
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

// Symptom: load swings between daemons and one of them drowns. Sequence: a
// daemon joins empty; for as long as answers are kept, every caller is told
// that it has most room. Cause: many answers are made from one old picture.
test("a daemon that joins empty is not stampeded", (t) => {
  const peaks = [product, proportional, mostRoom].map(peakLoad);
  const [own = 9, second = 0, third = 0] = peaks;
  t.diagnostic(
    `peak load ${own.toFixed(2)}, proportional weights ` +
      `${second.toFixed(2)}, all to the most room ${third.toFixed(2)}`,
  );
  expect(own < 0.95 && own < second && second < third).toEqual(true);
});

test("answers name the own zone first and nobody who leaves", () => {
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
  const keeps = new Set<number>();
  const firsts = new Map<string, number>();
  for (let count = 0; count < 600; count++) {
    const answer = answerAddresses({ ...options, keepMilliseconds: KEEP });
    const ports = answer.daemons.map((one) => one.port);
    expect(ports.slice(0, 4).every((port) => port < 6)).toEqual(true);
    expect([ports.length, ports[4]]).toEqual([5, 10]);
    expect(answer.daemons[4]?.weight).toEqual(0.01);
    keeps.add(answer.keepMilliseconds);
    const [first = "", ...others] = redirectCaller(options).elsewhere;
    firsts.set(first, (firsts.get(first) ?? 0) + 1);
    expect(others.every((one) => !/:1[1-4]$/.test(one))).toEqual(true);
  }
  expect(keeps.size > 400).toEqual(true);
  expect(Math.min(...keeps) >= 3_750 && Math.max(...keeps) <= 6_250).toEqual(
    true,
  );
  expect(firsts.size === 6 && Math.max(...firsts.values()) < 150).toEqual(true);
});

test("a zone without room spills, and one that is lost moves over", () => {
  const full = memberOf(1, { spareShare: 0.02 });
  const far = memberOf(2, { availabilityZone: "b", spareShare: 0.8 });
  const random = new SeededRandom(1);
  const options = { availabilityZone: "a", keepMilliseconds: KEEP, random };
  const spilled = answerAddresses({ ...options, members: [full, far] });
  expect((spilled.daemons[1]?.weight ?? 0) > 0.5).toEqual(true);
  const moved = answerAddresses({ ...options, members: [far] });
  expect(moved.daemons.map((one) => one.weight)).toEqual([1]);
});

// Symptom: callers of a daemon that was cut off have one address and no way
// out. Sequence: it hears nobody, so all others are suspect.
test("with nobody else live, suspects are named, for a short time", () => {
  const members = [memberOf(1, { state: "suspect" })];
  const random = new SeededRandom(1);
  const options = { members, availabilityZone: "a", random };
  const self = memberOf(0).digest;
  const answer = answerAddresses({
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

// Prints how the ways to choose a plain endpoint compare in a replayed load:
// node --conditions=source --import tsx \
//   packages/kelpspar-gateway/src/__tests__/support/compare_plain_load.ts
import type { PlainLoad, ReportKind } from "./play_plain_load.ts";
import process from "node:process";
import { playIdealLoad, playPlainLoad, quantile } from "./play_plain_load.ts";

const SEEDS = [1, 2, 3];
const PERIOD_MILLISECONDS = 4_000;
const WAYS = ["before", "least", "lower_of_two", "jittered"] as const;

type Load = Omit<PlainLoad, "seed">;

function slowedInTurn(factor: number): PlainLoad["slowdownAt"] {
  return (endpoint, now) =>
    Math.floor(now / PERIOD_MILLISECONDS) % 4 === endpoint ? factor : 1;
}

function loadOf(
  speeds: readonly number[],
  options: { readonly factor: number; readonly share: number },
): Load {
  const { factor, share } = options;
  const callsPerSecond = speeds.reduce((sum, speed) => sum + speed, 0) *
    6 / 40 * 1_000;
  return {
    daemons: 6,
    speeds,
    slots: 6,
    callMilliseconds: 40,
    perSecond: callsPerSecond * (3 + 1 / factor) / 4 * share,
    seconds: 48,
    slowdownAt: slowedInTurn(factor),
  };
}

function print(name: string, load: Load, kind: ReportKind): void {
  for (const way of WAYS) {
    const cells = SEEDS.map((seed) => {
      const reportAt = (endpoint: number, now: number): ReportKind =>
        way === "before"
          ? "queue"
          : load.slowdownAt(endpoint, now) > 1
          ? kind
          : "slowdown";
      const choice = way === "before" ? {} : { choice: way };
      const played = playPlainLoad({ ...load, ...choice, reportAt, seed });
      const ideal = quantile(playIdealLoad({ ...load, seed }), 0.99);
      const late = played.filter(({ sentAt }) =>
        sentAt % PERIOD_MILLISECONDS >= 1_000
      );
      const slowed = late.filter(({ endpoint, sentAt }) =>
        load.slowdownAt(endpoint, sentAt) > 1
      );
      const p99 = quantile(played, 0.99);
      const share = (slowed.length / late.length).toFixed(4);
      return `${share} ${p99.toFixed(0)} ms ${(p99 / ideal).toFixed(2)}`;
    });
    process.stdout.write(`${name}, ${kind}, ${way}: ${cells.join(" | ")}\n`);
  }
}

process.stdout.write(
  "share of the slowed endpoint after 1 s, p99, p99 relative to the ideal\n",
);
const EVEN = [1, 1, 1, 1];
const UNEVEN = [0.6, 1, 1, 1.6];
for (const kind of ["slowdown", "none"] satisfies ReportKind[]) {
  print("even, slowed 5 times, 250/s", {
    ...loadOf(EVEN, { factor: 5, share: 1 }),
    perSecond: 250,
  }, kind);
}
for (const [name, speeds] of [["even", EVEN], ["uneven", UNEVEN]] as const) {
  for (const factor of [1, 3, 5]) {
    const load = loadOf(speeds, { factor, share: 0.7 });
    print(`${name}, slowed ${factor} times, 0.7`, load, "slowdown");
  }
}
for (const exchangeMilliseconds of [undefined, 400]) {
  const exchange = exchangeMilliseconds === undefined
    ? {}
    : { exchangeMilliseconds };
  print(
    `even, slowed 5 times, 94/s, 61 daemons, exchange ${exchangeMilliseconds}`,
    {
      ...loadOf(EVEN, { factor: 5, share: 1 }),
      ...exchange,
      perSecond: 94,
      daemons: 61,
    },
    "slowdown",
  );
}
for (const factor of [1, 5]) {
  const load = { ...loadOf(UNEVEN, { factor, share: 0.7 }), daemons: 60 };
  print(`uneven, slowed ${factor} times, 60 daemons`, load, "slowdown");
}

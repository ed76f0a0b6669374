import type { LeaseTerms } from "../../leases/mod.ts";
import type { Model } from "./leases_model.ts";
import { test } from "node:test";
import { expect } from "earl";
import {
  advanceLease,
  fencingNumberForOrder,
  watchLease,
} from "../../leases/mod.ts";
import {
  clockOf,
  describe,
  moves,
  pruneLateWrites,
  sendOrders,
} from "./leases_model.ts";

// Model check: guards against an engine that receives an order of an earlier
// holder after one of a later holder and returns to an old model.
//
// Explores every sequence within the budgets, up to a time: two holders, one
// with a clock that is 25% slow; pauses; writes whose answer is lost and that
// arrive late; orders that spend time in transit.
//
// Possible causes: a lease counted from the answer, an acquisition that doesn't
// wait for the order time and the drift, a fencing number that is used twice.

const TERMS: Partial<LeaseTerms> = {
  leaseMilliseconds: 3,
  longestOrderMilliseconds: 1,
  driftMilliseconds: 1,
  pollMilliseconds: 1,
  pauseMilliseconds: 1,
};
const LONGEST_ORDER = 1;
/** Maximum number of each event. */
const BUDGETS = [
  { lose: 2, pause: 0, stop: 0 },
  { lose: 0, pause: 1, stop: 0 },
  { lose: 0, pause: 0, stop: 1 },
] as const;

interface Search {
  readonly states: number;
  /** Shortest path to a fault, if any. */
  readonly path: readonly Model[];
  readonly fault: string;
  readonly highest: number;
}

function search(
  budget: typeof BUDGETS[number],
  options: {
    readonly longestOrder?: number;
    readonly terms?: Partial<LeaseTerms>;
  } = {},
): Search {
  const { longestOrder = LONGEST_ORDER, terms } = options;
  const holders = ["a", "b"].map((name, at) => ({
    state: watchLease(name, {
      now: clockOf(at, 0),
      terms: { ...TERMS, ...terms },
    }),
    isPaused: false,
  }));
  const parts = { time: 0, found: null, network: [], allowed: [], fault: "" };
  const start: Model = { ...parts, holders, ...budget };
  const seen = new Set<string>();
  const parents = new Map<Model, Model>();
  let highest = 0;
  let frontier = [start];
  while (frontier.length > 0) {
    const next: Model[] = [];
    for (const model of frontier) {
      for (const moved of moves(model)) {
        const reached = sendOrders(pruneLateWrites(moved), longestOrder);
        const key = describe(reached);
        if (seen.has(key)) continue;
        seen.add(key);
        parents.set(reached, model);
        next.push(reached);
        highest = Math.max(highest, reached.found?.row.fencingNumber ?? 0);
        const { fault } = reached;
        if (fault === "") continue;
        const path: Model[] = [];
        for (
          let step: Model | undefined = reached;
          step !== undefined;
          step = parents.get(step)
        ) path.unshift(step);
        return { states: seen.size, path, fault, highest };
      }
    }
    frontier = next;
  }
  return { states: seen.size, path: [], fault: "", highest };
}

function describePath(path: readonly Model[]): readonly string[] {
  const lines = path.map(({ time, found, holders }) => {
    const row = found === null
      ? "no row"
      : `row "${found.row.holder}" ${found.row.fencingNumber}`;
    const states = holders.map(({ state, isPaused }) =>
      `${state.holder} ${isPaused ? "paused" : "runs"}, holds ${
        state.held?.fencingNumber ?? "nothing"
      }`
    );
    return `time ${time}: ${row}; ${states.join("; ")}`;
  });
  return lines.filter((line, index) => line !== lines[index - 1]);
}

test("orders within their maximum transit time never arrive stale", (t) => {
  for (const budget of BUDGETS) {
    const { states, fault, highest } = search(budget);
    const faults = JSON.stringify(budget);
    t.diagnostic(`${faults}: ${states} states, up to number ${highest}`);
    expect(fault).toEqual("");
    expect(highest).toBeGreaterThan(1);
  }
});

test("only an order that exceeds its transit time arrives stale", (t) => {
  const longestOrder = LONGEST_ORDER + 1;
  const { fault, path } = search(BUDGETS[0], { longestOrder });
  expect(fault).toEqual(`stale after ${longestOrder}`);
  for (const line of describePath(path)) t.diagnostic(line);
});

test("an acquisition after a shorter wait admits a stale order", () => {
  const shorter: Partial<LeaseTerms>[] = [
    { driftMilliseconds: 0 },
    { hasUncheckedEndpoints: false },
  ];
  for (const terms of shorter) {
    const { fault } = search(BUDGETS[0], { terms });
    expect(fault).toEqual("stale after 1");
  }
});

// Guards against orders of a holder whose lease expired long ago: a VM is
// suspended together with its monotonic clock, or a process resumes and sends
// before its first tick. The monotonic clock alone shows no elapsed time.
test("a pause drops the lease, also if only the wall clock shows it", () => {
  const held = {
    fencingNumber: 1,
    version: 1,
    expiresAt: 9_000,
    renewAt: 8_000,
  };
  const watched = watchLease("a", { now: 0 });
  const state = advanceLease({ ...watched, held }, {
    type: "tick",
    now: 100,
    wallClock: 5_000,
  }).state;
  expect(fencingNumberForOrder(state, 200)).toEqual(1);
  expect(fencingNumberForOrder({ ...state, lastTickAt: -950 }, 200))
    .toEqual(undefined);
  expect(fencingNumberForOrder({ ...state, isStopping: true }, 200))
    .toEqual(undefined);
  const gap = advanceLease(state, { type: "tick", now: 1_200 });
  expect(gap.actions).toEqual([{ type: "lost" }]);
  const renewing = advanceLease({ ...state, held: { ...held, renewAt: 0 } }, {
    type: "tick",
    now: 150,
  });
  expect(renewing.actions[0]?.type).toEqual("write");
  const woken = advanceLease(renewing.state, { type: "tick", now: 1_200 });
  const answer = { type: "committed", version: 2, now: 1_201 } as const;
  const answered = advanceLease(woken.state, answer);
  expect(answered.state.held).toEqual(undefined);
  expect(fencingNumberForOrder(answered.state, 1_202)).toEqual(undefined);
  const resumed = { type: "tick", now: 200, wallClock: 25_100 } as const;
  const { actions } = advanceLease(state, resumed);
  expect(actions).toEqual([{ type: "lost" }]);
});

test("a renewal whose answer was lost keeps the lease", () => {
  const held = { fencingNumber: 1, version: 1, expiresAt: 9_000, renewAt: 0 };
  const watched = watchLease("a", { now: 0 });
  const renewing = advanceLease({ ...watched, held }, { type: "tick", now: 1 });
  const row = renewing.state.pendingWrite?.row;
  if (row === undefined) throw new Error("No write is pending");
  const found = { row, version: 2 };
  const kept = advanceLease(renewing.state, {
    type: "conflict",
    now: 2,
    found,
  });
  expect(kept.state.held).toEqual({ ...held, version: 2 });
  const rival = { row: { ...row, holder: "b", fencingNumber: 2 }, version: 2 };
  const lost = advanceLease(renewing.state, {
    type: "conflict",
    now: 2,
    found: rival,
  });
  expect(lost.actions).toEqual([{ type: "lost" }]);
});

test("a released lease is not held", () => {
  const held = { fencingNumber: 1, version: 1, expiresAt: 9_000, renewAt: 8e3 };
  const watched = watchLease("a", { now: 0 });
  const stopping = advanceLease({ ...watched, held }, { type: "stop", now: 1 });
  const released = advanceLease(stopping.state, { type: "tick", now: 2 });
  expect(released.actions.map(({ type }) => type)).toEqual(["lost", "write"]);
  const answer = { type: "committed", version: 2, now: 3 } as const;
  expect(advanceLease(released.state, answer).state.held).toEqual(undefined);
});

import type {
  FoundLease,
  LeaseEvent,
  LeaseRow,
  LeaseState,
  LeaseTerms,
} from "../../leases/mod.ts";
import { test } from "node:test";
import { expect } from "earl";
import {
  advanceLease,
  fencingNumberForOrder,
  watchLease,
} from "../../leases/mod.ts";

// Symptom: an engine takes an order of an earlier holder after one of a later
//   holder, and goes back to an old model.
// Sequence: every one that the budgets allow, up to a time: two holders, one
//   of whose clocks is slow by a quarter, pauses, writes whose answer is lost
//   and that arrive late, orders that are on their way for a while.
// Cause looked for: a lease counted from the answer, a taker that does not
//   wait out the order and the drift, a fencing number that is used twice.

const TERMS: Partial<LeaseTerms> = {
  leaseMilliseconds: 3,
  longestOrderMilliseconds: 1,
  driftMilliseconds: 1,
  pollMilliseconds: 1,
  pauseMilliseconds: 1,
};
const LONGEST_ORDER = 1;
const LAST_TIME = 9;
/** How often each thing may happen. */
const BUDGETS = [
  { lose: 1, pause: 1, stop: 0 },
  { lose: 0, pause: 1, stop: 1 },
] as const;

interface Holder {
  readonly state: LeaseState;
  readonly isPaused: boolean;
}

interface Sent {
  readonly from: number;
  readonly row: LeaseRow;
  readonly expectedVersion: number;
  readonly isAwaited: boolean;
  /** The answer that is on its way back, once the write arrived. */
  readonly answer?: LeaseAnswer;
}

type LeaseAnswer =
  | { readonly type: "committed"; readonly version: number }
  | { readonly type: "conflict"; readonly found: FoundLease | null };

interface Allowed {
  readonly at: number;
  readonly fencingNumber: number;
  readonly time: number;
}

interface Model {
  readonly time: number;
  readonly found: FoundLease | null;
  readonly network: readonly Sent[];
  readonly holders: readonly Holder[];
  /** When each fencing number was last allowed to be sent, while it matters. */
  readonly allowed: readonly Allowed[];
  readonly fault: string;
  readonly lose: number;
  readonly pause: number;
  readonly stop: number;
}

/** Each holder has its own monotonic clock; the second one is slow. */
function clockOf(at: number, time: number): number {
  return at === 0 ? 500 + time : Math.floor(time * 3 / 4);
}

function put<T>(list: readonly T[], index: number, item: T): T[] {
  return list.map((old, at) => at === index ? item : old);
}

function advance(model: Model, at: number, event: LeaseEvent): Model {
  const holder = model.holders[at];
  if (holder === undefined) return model;
  const { state, actions } = advanceLease(holder.state, event);
  let next = model;
  let wantsRow = false;
  for (const action of actions) {
    if (action.type === "read") wantsRow = true;
    if (action.type === "write") {
      const { row, expectedVersion } = action;
      const sent = { from: at, row, expectedVersion, isAwaited: true };
      next = { ...next, network: [...next.network, sent] };
    }
  }
  const holders = put(next.holders, at, { ...holder, state });
  next = { ...next, holders };
  if (!wantsRow) return next;
  return advance(next, at, { ...event, type: "seen", found: model.found });
}

function passTime(model: Model): Model {
  const time = model.time + 1;
  return model.holders.reduce<Model>((next, { isPaused }, at) => {
    if (isPaused) return next;
    return advance(next, at, { type: "tick", now: clockOf(at, time) });
  }, { ...model, time });
}

/** Two holders must never have the same fencing number, nor one go back. */
function isShared(old: LeaseRow | undefined, next: LeaseRow): boolean {
  if (old === undefined || next.holder === "") return false;
  return next.holder === old.holder
    ? next.fencingNumber < old.fencingNumber
    : next.fencingNumber <= old.fencingNumber;
}

function deliver(model: Model, sent: Sent): readonly [Model, LeaseAnswer] {
  const { row, expectedVersion } = sent;
  const { found } = model;
  if ((found?.version ?? 0) !== expectedVersion) {
    return [model, { type: "conflict", found }];
  }
  const version = expectedVersion + 1;
  const fault = isShared(found?.row, row) ? "shared number" : "";
  const next = { ...model, found: { row, version }, fault };
  return [next, { type: "committed", version }];
}

function* networkMoves(model: Model): Generator<Model> {
  for (const [index, sent] of model.network.entries()) {
    const { from, answer } = sent;
    const others = model.network.filter((_, at) => at !== index);
    const gone = { ...model, network: others };
    const now = clockOf(from, model.time);
    const isReachable = model.holders[from]?.isPaused === false;
    if (answer !== undefined) {
      if (isReachable) yield advance(gone, from, { ...answer, now });
    } else {
      const [arrived, next] = deliver(gone, sent);
      const network = sent.isAwaited
        ? [...others, { ...sent, answer: next }]
        : others;
      yield { ...arrived, network };
    }
    if (model.lose === 0 || !sent.isAwaited || !isReachable) continue;
    const late = { ...sent, isAwaited: false };
    const network = answer === undefined ? [...others, late] : others;
    const lost = { ...model, network, lose: model.lose - 1 };
    yield advance(lost, from, { type: "unknown", now });
  }
}

function* holderMoves(model: Model, at: number): Generator<Model> {
  const holder = model.holders[at];
  if (holder === undefined) return;
  const change = (changed: Partial<Holder>): Model => ({
    ...model,
    holders: put(model.holders, at, { ...holder, ...changed }),
  });
  if (holder.isPaused) {
    yield change({ isPaused: false });
    return;
  }
  const now = clockOf(at, model.time);
  if (model.pause > 0) {
    yield { ...change({ isPaused: true }), pause: model.pause - 1 };
  }
  if (model.stop > 0 && holder.state.held !== undefined) {
    const left = { ...model, stop: model.stop - 1 };
    yield advance(left, at, { type: "stop", now });
  }
}

/**
 * Lets every holder that may send an order send one. An earlier holder's order
 * that is still on its way then may arrive after the later holder's.
 */
function sendOrders(model: Model, longestOrder: number): Model {
  let { allowed, fault } = model;
  const { time } = model;
  for (const [at, { state, isPaused }] of model.holders.entries()) {
    const fencingNumber = fencingNumberForOrder(state, clockOf(at, time));
    if (isPaused || fencingNumber === undefined) continue;
    const others = allowed.filter((one) => one.fencingNumber !== fencingNumber);
    const sent = { at, fencingNumber, time };
    allowed = [...others, sent];
  }
  const onTheWay = allowed.filter((one) => one.time + longestOrder >= time);
  const newest = Math.max(0, ...onTheWay.map((one) => one.fencingNumber));
  const stale = onTheWay.find((one) => one.fencingNumber < newest);
  if (stale !== undefined) fault = `stale after ${time - stale.time}`;
  return { ...model, allowed: onTheWay, fault };
}

function* moves(model: Model): Generator<Model> {
  yield* networkMoves(model);
  for (const at of model.holders.keys()) yield* holderMoves(model, at);
  if (model.time < LAST_TIME) yield passTime(model);
}

/** Drops late writes that can never take effect, since versions only grow. */
function tidy(model: Model): Model {
  const version = model.found?.version ?? 0;
  const network = model.network.filter((sent) =>
    sent.isAwaited || sent.expectedVersion >= version
  );
  return { ...model, network };
}

function describe(model: Model): string {
  const { time, found, network, holders, allowed, lose, pause, stop } = model;
  const rows = [found, ...network].map((one) =>
    one === null
      ? ""
      : "isAwaited" in one
      ? `${one.from}${one.row.holder}${one.row.fencingNumber}.${one.expectedVersion}${one.isAwaited}${one.answer?.type}`
      : `${one.row.holder}${one.row.fencingNumber}.${one.version}`
  );
  const states = holders.map(({ state, isPaused }) => {
    const { seen, writing, tried, held, lastTickAt, isStopping } = state;
    const parts = [seen?.firstSeenAt, seen?.found?.version, isPaused];
    const sent = [writing?.kind, writing?.sentAt, writing?.isVoid];
    const lease = [held?.version, held?.fencingNumber, held?.heldUntil];
    const rest = [tried?.fencingNumber, tried?.sentAt, lastTickAt, isStopping];
    return `${parts}|${sent}|${lease}|${held?.renewAt}|${rest}`;
  });
  const orders = allowed.map((one) => `${one.fencingNumber}@${one.time}`);
  return `${time}|${rows}|${states}|${orders}|${lose}${pause}${stop}`;
}

interface Search {
  readonly states: number;
  /** The shortest way to a fault, if there is one. */
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
        const reached = sendOrders(tidy(moved), longestOrder);
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

function tell(path: readonly Model[]): readonly string[] {
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

test("orders that keep to their time never arrive stale", (t) => {
  for (const budget of BUDGETS) {
    const { states, fault, highest } = search(budget);
    const faults = JSON.stringify(budget);
    t.diagnostic(`${faults}: ${states} states, up to number ${highest}`);
    expect(fault).toEqual("");
    expect(highest).toBeGreaterThan(1);
  }
});

test("only an order that travels too long arrives stale", (t) => {
  const longestOrder = LONGEST_ORDER + 1;
  const { fault, path } = search(BUDGETS[0], { longestOrder });
  expect(fault).toEqual(`stale after ${longestOrder}`);
  for (const line of tell(path)) t.diagnostic(line);
});

test("a taker that waits for less lets a stale order in", () => {
  const shorter: Partial<LeaseTerms>[] = [
    { driftMilliseconds: 0 },
    { hasUncheckedEndpoints: false },
  ];
  for (const terms of shorter) {
    const { fault } = search(BUDGETS[0], { terms });
    expect(fault).toEqual("stale after 1");
  }
});

// Symptom: orders of a holder whose lease lapsed long ago.
// Sequence: a VM is suspended, and its monotonic clock with it, or a process
//   wakes and sends before its first tick.
// Cause: the monotonic clock alone says that no time has passed.
test("a pause drops the lease, also one that only the wall clock shows", () => {
  const held = {
    fencingNumber: 1,
    version: 1,
    heldUntil: 9_000,
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
  expect(answered.actions).toEqual([]);
  expect(fencingNumberForOrder(answered.state, 1_202)).toEqual(undefined);
  const resumed = { type: "tick", now: 200, wallClock: 25_100 } as const;
  const { actions } = advanceLease(state, resumed);
  expect(actions).toEqual([{ type: "lost" }]);
});

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
const LAST_TIME = 8;

interface Holder {
  readonly state: LeaseState;
  readonly isPaused: boolean;
}

interface Sent {
  readonly from: number;
  readonly row: LeaseRow;
  readonly expectedVersion: number;
  readonly isAwaited: boolean;
}

interface Order {
  readonly fencingNumber: number;
  readonly sentAt: number;
}

interface Model {
  readonly time: number;
  readonly found: FoundLease | null;
  readonly network: readonly Sent[];
  readonly holders: readonly Holder[];
  readonly orders: readonly Order[];
  /** Who gained each fencing number, in its order. */
  readonly gained: readonly number[];
  readonly highest: number;
  readonly fault: string;
  readonly order: number;
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
    if (action.type === "gained") {
      const { fencingNumber } = action;
      const gained = [...next.gained];
      const other = gained[fencingNumber];
      const isShared = other !== undefined && other !== at;
      gained[fencingNumber] = at;
      next = { ...next, gained, fault: isShared ? "shared number" : "" };
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

function* networkMoves(model: Model): Generator<Model> {
  for (const [index, sent] of model.network.entries()) {
    const { from, row } = sent;
    const others = model.network.filter((_, at) => at !== index);
    const version = model.found?.version ?? 0;
    const isTaken = version === sent.expectedVersion;
    const found = isTaken ? { row, version: version + 1 } : model.found;
    const arrived = { ...model, network: others, found };
    if (!sent.isAwaited) {
      yield arrived;
      continue;
    }
    if (model.holders[from]?.isPaused) continue;
    const now = clockOf(from, model.time);
    yield isTaken
      ? advance(arrived, from, { type: "committed", now, version: version + 1 })
      : advance(arrived, from, { type: "conflict", now, found: model.found });
    if (model.lose === 0) continue;
    const lose = model.lose - 1;
    yield advance({ ...arrived, lose }, from, { type: "unknown", now });
    const late = {
      ...model,
      lose,
      network: [...others, { ...sent, isAwaited: false }],
    };
    yield advance(late, from, { type: "unknown", now });
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
  const fencingNumber = fencingNumberForOrder(holder.state, now);
  if (fencingNumber !== undefined && model.order > 0) {
    const order = { fencingNumber, sentAt: model.time };
    const orders = [...model.orders, order];
    yield { ...model, orders, order: model.order - 1 };
  }
  const hasOrder = model.orders.length > 0;
  if (model.stop > 0 && holder.state.held !== undefined && !hasOrder) {
    yield advance({ ...model, stop: model.stop - 1 }, at, {
      type: "stop",
      now,
    });
  }
}

/** An order arrives; what an endpoint that does not check would take. */
function* orderMoves(model: Model, longestOrder: number): Generator<Model> {
  for (const [index, order] of model.orders.entries()) {
    const orders = model.orders.filter((_, at) => at !== index);
    const wire = model.time - order.sentAt;
    if (wire > longestOrder) continue;
    const isStale = order.fencingNumber < model.highest;
    const highest = Math.max(model.highest, order.fencingNumber);
    const fault = isStale ? `stale after ${wire}` : "";
    yield { ...model, orders, highest, fault };
  }
}

function* moves(model: Model, longestOrder: number): Generator<Model> {
  yield* networkMoves(model);
  yield* orderMoves(model, longestOrder);
  for (const at of model.holders.keys()) yield* holderMoves(model, at);
  if (model.time < LAST_TIME) yield passTime(model);
}

interface Search {
  readonly states: number;
  /** The first, and so the shortest, way to each fault. */
  readonly faults: ReadonlyMap<string, readonly Model[]>;
  readonly numbers: number;
}

function search(longestOrder: number, terms: Partial<LeaseTerms> = {}): Search {
  const options = { now: 0, terms: { ...TERMS, ...terms } };
  const holders = ["a", "b"].map((name, at) => ({
    state: watchLease(name, { ...options, now: clockOf(at, 0) }),
    isPaused: false,
  }));
  const budget = { order: 2, lose: 1, pause: 1, stop: 0 };
  const parts = { time: 0, found: null, network: [], orders: [], gained: [] };
  const start: Model = { ...parts, holders, highest: 0, fault: "", ...budget };
  const seen = new Set<string>();
  const faults = new Map<string, readonly Model[]>();
  const parents = new Map<Model, Model>();
  let numbers = 0;
  let frontier = [start];
  while (frontier.length > 0) {
    const next: Model[] = [];
    for (const model of frontier) {
      for (const reached of moves(model, longestOrder)) {
        const key = JSON.stringify(reached);
        if (seen.has(key)) continue;
        seen.add(key);
        parents.set(reached, model);
        numbers = Math.max(numbers, reached.gained.length - 1);
        if (reached.fault === "") next.push(reached);
        else if (!faults.has(reached.fault)) {
          faults.set(reached.fault, [reached]);
        }
      }
    }
    frontier = next;
    if (seen.size > 3e6) throw 1;
  }
  for (const [fault, [last]] of faults) {
    const path: Model[] = [];
    for (let step = last; step !== undefined; step = parents.get(step)) {
      path.unshift(step);
    }
    faults.set(fault, path);
  }
  return { states: seen.size, faults, numbers };
}

test("orders that keep to their time never arrive stale", (t) => {
  const { states, faults, numbers } = search(LONGEST_ORDER);
  t.diagnostic(`${states} states, fencing numbers up to ${numbers}`);
  expect([...faults.keys()]).toEqual([]);
  expect(numbers).toBeGreaterThan(1);
});

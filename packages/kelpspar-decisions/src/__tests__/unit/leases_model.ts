import type {
  FoundLease,
  LeaseEvent,
  LeaseRow,
  LeaseState,
} from "../../leases/mod.ts";
import { advanceLease, fencingNumberForOrder } from "../../leases/mod.ts";

const LAST_TIME = 9;

interface Holder {
  readonly state: LeaseState;
  readonly isPaused: boolean;
}

interface Sent {
  readonly from: number;
  readonly row: LeaseRow;
  readonly expectedVersion: number;
  readonly isAwaited: boolean;
  /** Answer in transit, once the write arrived. */
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

/** State of one group's lease and two competing daemons. */
export interface Model {
  readonly time: number;
  readonly found: FoundLease | null;
  readonly network: readonly Sent[];
  readonly holders: readonly Holder[];
  /** When each fencing number could last be sent, while it is relevant. */
  readonly allowed: readonly Allowed[];
  readonly fault: string;
  readonly lose: number;
  readonly pause: number;
  readonly stop: number;
}

/** Monotonic clock of each holder; the second one is slow. */
export function clockOf(at: number, time: number): number {
  return at === 0 ? 500 + time : Math.floor(time * 3 / 4);
}

function replaceAt<T>(list: readonly T[], index: number, item: T): T[] {
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
  const holders = replaceAt(next.holders, at, { ...holder, state });
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

/**
 * Two holders must never share a fencing number, and it must never decrease.
 */
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
    const withoutWrite = { ...model, network: others };
    const now = clockOf(from, model.time);
    const isReachable = model.holders[from]?.isPaused === false;
    if (answer !== undefined) {
      if (isReachable) yield advance(withoutWrite, from, { ...answer, now });
    } else {
      const [arrived, next] = deliver(withoutWrite, sent);
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
    holders: replaceAt(model.holders, at, { ...holder, ...changed }),
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
 * Sends an order from every holder that may send one. An earlier holder's order
 * that is still in transit may then arrive after the later holder's.
 */
export function sendOrders(model: Model, longestOrder: number): Model {
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

/** All states reachable in one step. */
export function* moves(model: Model): Generator<Model> {
  yield* networkMoves(model);
  for (const at of model.holders.keys()) yield* holderMoves(model, at);
  if (model.time < LAST_TIME) yield passTime(model);
}

/**
 * Removes late writes that can never take effect, because versions only
 * increase.
 */
export function pruneLateWrites(model: Model): Model {
  const version = model.found?.version ?? 0;
  const network = model.network.filter((sent) =>
    sent.isAwaited || sent.expectedVersion >= version
  );
  return { ...model, network };
}

/** Returns the same text for equal states. */
export function describe(model: Model): string {
  const { time, found, network, holders, allowed, lose, pause, stop } = model;
  const rows = network.map(({ from, row, expectedVersion, ...one }) => {
    const answer = JSON.stringify(one.answer);
    const { holder, fencingNumber } = row;
    return `${from}${holder}${fencingNumber}.${expectedVersion}${one.isAwaited}${answer}`;
  });
  rows.push(JSON.stringify(found));
  const states = holders.map(({ state, isPaused }) => {
    const { observed, pendingWrite, tried, held, lastTickAt, isStopping } =
      state;
    const parts = [
      observed?.unchangedSince,
      observed?.found?.version,
      isPaused,
    ];
    const sent = [
      pendingWrite?.kind,
      pendingWrite?.sentAt,
      pendingWrite?.isObsolete,
    ];
    const lease = [held?.version, held?.fencingNumber, held?.expiresAt];
    const rest = [tried?.fencingNumber, tried?.sentAt, lastTickAt, isStopping];
    return `${parts}|${sent}|${lease}|${held?.renewAt}|${rest}|${state.readRequestedAt}`;
  });
  const orders = allowed.map((one) => `${one.fencingNumber}@${one.time}`);
  return `${time}|${rows}|${states}|${orders}|${lose}${pause}${stop}`;
}

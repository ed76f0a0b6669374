import type { DesiredEngineState, LoadReport } from "kelpspar-shared";
import type { PlannedEngine, PlannerStep } from "../../leases/mod.ts";
import { test } from "node:test";
import { expect } from "earl";
import fc from "fast-check";
import { SeededRandom } from "kelpspar-shared";
import {
  grantKey,
  listMissingWeights,
  planEngineTargets,
  planOrders,
} from "../../leases/mod.ts";

// Guards against a model change that cuts off requests, leaves a model without
// ready engines, exceeds the grants of the weight store or never ends. Random
// fleets, lagging reports, other daemons that keep sending for a while, a new
// holder without state, and orders of a stale holder at engines that don't
// check fencing numbers. Possible causes: an order before the drain, a minimum
// or zone not counted.

const TIMES = {
  routingSettleMilliseconds: 2,
  reportTimeoutMilliseconds: 3,
  loadTimeoutMilliseconds: 50,
};
const FLOOR = 1;
const CALM_STEPS = 400;

interface Engine {
  readonly endpointId: string;
  readonly availabilityZone: string;
  real: LoadReport;
  loadedAt: number;
  next: DesiredEngineState;
  removedFromRoutingAt: number | undefined;
  lastOrder: PlannedEngine["lastOrder"];
  report: LoadReport;
  reportAt: number;
}

const OLD: DesiredEngineState = {
  models: { m: "1" },
  adapters: [],
  role: "any",
};

function createReport(state: DesiredEngineState): LoadReport {
  const counts = { running: 0, waiting: 0, concurrency: 4, accepted: 0 };
  const ids = { incarnation: "i", sequence: 1, queuedTokens: 0 };
  return { ...ids, ...counts, ...state, state: "ready" };
}

class Fleet {
  readonly random: SeededRandom;
  readonly engines: Engine[] = [];
  readonly grants = new Map<string, number>();
  readonly targets: ReadonlyMap<string, DesiredEngineState>;
  now = 0;
  #asked: string[] = [];

  constructor(seed: number) {
    this.random = new SeededRandom(seed);
    const count = 3 + this.random.nextInteger(4);
    for (let index = 0; index < count; index++) {
      const isEmpty = this.random.nextInteger(4) === 0;
      const state = isEmpty ? { ...OLD, models: {} } : OLD;
      const report = createReport(state);
      this.engines.push({
        endpointId: `e${index}`,
        availabilityZone: `z${index % 3}`,
        real: report,
        loadedAt: 0,
        next: state,
        removedFromRoutingAt: undefined,
        lastOrder: undefined,
        report,
        reportAt: 0,
      });
    }
    const models = [{ id: "m", version: "2", adapters: ["x"] }];
    const roles = { prefill: 1 };
    this.targets = planEngineTargets(
      this.engines.map(({ endpointId }) => ({ endpointId, role: "any" })),
      { models, roles },
    );
  }

  order(engine: Engine, desired: DesiredEngineState): void {
    const loads = listMissingWeights(engine.real, desired).length;
    const { real } = engine;
    engine.next = desired;
    engine.loadedAt = this.now + loads * (1 + this.random.nextInteger(4));
    const models = loads > 0 ? {} : real.models;
    engine.real = { ...real, models, state: "loading" };
  }

  /** Simulates calls, loads and reports of the engines. */
  live(): void {
    this.now += 1;
    for (const engine of this.engines) {
      const { removedFromRoutingAt, loadedAt, next } = engine;
      if (engine.real.state === "loading" && this.now >= loadedAt) {
        engine.real = { ...engine.real, ...next, state: "ready" };
      }
      const isUsed = removedFromRoutingAt === undefined ||
        this.now < removedFromRoutingAt + TIMES.routingSettleMilliseconds;
      const hasModel = engine.real.models["m"] !== undefined;
      const arrives = isUsed && hasModel && this.random.nextInteger(2) === 0;
      const leaves = this.random.nextInteger(2);
      const running = Math.max(0, engine.real.running - leaves);
      engine.real = { ...engine.real, running: running + (arrives ? 1 : 0) };
      if (this.random.nextInteger(2) === 0) {
        engine.report = engine.real;
        engine.reportAt = this.now;
      }
    }
    const granted = this.#asked.splice(0, this.random.nextInteger(2));
    for (const key of granted) {
      this.grants.set(key, (this.grants.get(key) ?? 0) + 1);
    }
  }

  plan(): void {
    const planned = this.engines.map((engine): PlannedEngine => {
      const { endpointId, removedFromRoutingAt, lastOrder } = engine;
      const desired = this.targets.get(endpointId) ?? OLD;
      return {
        endpointId,
        availabilityZone: engine.availabilityZone,
        desired,
        report: engine.report,
        reportAt: engine.reportAt,
        inFlight: 0,
        ...(removedFromRoutingAt === undefined ? {} : { removedFromRoutingAt }),
        ...(lastOrder === undefined ? {} : { lastOrder }),
      };
    });
    const minimumReady = new Map([["m", FLOOR]]);
    const { grants, now } = this;
    const input = { now, engines: planned, minimumReady, grants };
    for (const step of planOrders(input, TIMES)) this.#apply(step);
  }

  #apply(step: PlannerStep): void {
    if (step.type === "wait") return;
    if (step.type === "request_grant") {
      const key = grantKey(step.model, step.version);
      if (!this.#asked.includes(key)) this.#asked.push(key);
      return;
    }
    const engine = this.engines.find((one) =>
      one.endpointId === step.endpointId
    );
    if (engine === undefined) throw new Error("No engine has this endpoint id");
    if (step.type === "put_back") engine.removedFromRoutingAt = undefined;
    if (step.type === "take_out") {
      this.#checkZone(engine);
      engine.removedFromRoutingAt = this.now;
      const left = this.engines.filter((one) =>
        one.removedFromRoutingAt === undefined &&
        one.report.state === "ready" &&
        one.report.models["m"] !== undefined
      );
      const wasServing = engine.report.models["m"] !== undefined;
      expect(left.length >= FLOOR || !wasServing).toEqual(true);
    }
    if (step.type !== "order") return;
    expect(engine.removedFromRoutingAt === undefined).toEqual(false);
    const orderedAt = engine.lastOrder?.at ?? -Infinity;
    expect(this.now - orderedAt >= TIMES.reportTimeoutMilliseconds).toEqual(
      true,
    );
    expect(engine.real.running).toEqual(0);
    for (const key of step.grants) {
      const left = (this.grants.get(key) ?? 0) - 1;
      expect(left >= 0).toEqual(true);
      this.grants.set(key, left);
    }
    expect(step.grants.length).toEqual(
      listMissingWeights(engine.report, step.desired).length,
    );
    engine.lastOrder = { desired: step.desired, at: this.now };
    this.order(engine, step.desired);
  }

  #checkZone(engine: Engine): void {
    const others = this.engines.filter((one) =>
      one !== engine && one.availabilityZone === engine.availabilityZone
    );
    for (const other of others) {
      expect(other.removedFromRoutingAt).toEqual(undefined);
    }
  }

  /** Simulates a stale holder's order, or a new holder without state. */
  disturb(): void {
    const index = this.random.nextInteger(this.engines.length * 6);
    const engine = this.engines[index];
    if (engine !== undefined) {
      const models = { m: String(this.random.nextInteger(3)) };
      engine.real = { ...engine.real, running: 0 };
      const role = this.random.nextInteger(2) === 0 ? "any" : "decode";
      const adapters = this.random.nextInteger(2) === 0 ? [] : ["x"];
      this.order(engine, { models, adapters, role });
    } else if (index % 23 === 0) {
      for (const one of this.engines) {
        one.removedFromRoutingAt = undefined;
        one.lastOrder = undefined;
      }
    }
  }

  isSettled(): boolean {
    return this.engines.every(({ endpointId, removedFromRoutingAt, real }) => {
      const isRight = real.models["m"] === "2" && real.adapters[0] === "x" &&
        real.role === this.targets.get(endpointId)?.role;
      return isRight && real.state === "ready" &&
        removedFromRoutingAt === undefined;
    });
  }
}

test("any disturbed fleet reaches the desired state without violations", () => {
  fc.assert(
    fc.property(fc.integer(), (seed) => {
      const fleet = new Fleet(seed);
      for (let step = 0; step < 60; step++) {
        fleet.live();
        fleet.disturb();
        fleet.plan();
      }
      for (let step = 0; step < CALM_STEPS; step++) {
        if (fleet.isSettled()) break;
        fleet.live();
        fleet.plan();
      }
      expect(fleet.isSettled()).toEqual(true);
      const roles = fleet.engines.map(({ real }) => real.role);
      expect(roles.filter((role) => role === "prefill").length).toEqual(1);
    }),
    { numRuns: 1_000, seed: 41 },
  );
});

const WANTED: DesiredEngineState = { ...OLD, models: { m: "2" } };

function createEngine(changes: Partial<PlannedEngine>): PlannedEngine {
  return {
    endpointId: "e",
    availabilityZone: "z",
    desired: WANTED,
    report: createReport(OLD),
    reportAt: 0,
    inFlight: 0,
    ...changes,
  };
}

function plan(
  engines: readonly PlannedEngine[],
  options: { readonly now: number; readonly floor: number },
): readonly PlannerStep[] {
  const minimumReady = new Map([["m", options.floor]]);
  const grants = new Map([["m@2", 9]]);
  const input = { now: options.now, engines, minimumReady, grants };
  return planOrders(input, TIMES);
}

test("an engine that loads for too long is ordered again", () => {
  const report: LoadReport = { ...createReport(OLD), state: "loading" };
  const lastOrder = { desired: WANTED, at: 10 };
  const stuck = createEngine({ report, lastOrder, removedFromRoutingAt: 5 });
  const other = createEngine({ endpointId: "f" });
  const before = plan([stuck, other], { now: 59, floor: 0 });
  expect(before.map(({ type }) => type)).toEqual(["wait", "wait"]);
  // Its zone stays blocked, so that a version that cannot load spreads no
  // further.
  const after = plan([stuck, other], { now: 60, floor: 0 });
  expect(after.map(({ type }) => type)).toEqual(["order", "wait"]);
});

// Guards against a model with fewer ready engines than its minimum: one engine
// is removed from routing to drain, and another one fails. The draining engine
// still works, but no daemon may send to it.
test("a draining engine that the minimum requires returns to routing", () => {
  const draining = createEngine({ removedFromRoutingAt: 5 });
  expect(plan([draining], { now: 6, floor: 1 }))
    .toEqual([{ type: "put_back", endpointId: "e" }]);
  const lastOrder = { desired: WANTED, at: 6 };
  expect(plan([{ ...draining, lastOrder }], { now: 7, floor: 1 }))
    .toEqual([{ type: "wait", endpointId: "e", reason: "loading" }]);
});

test("a leaving engine is not changed", () => {
  const report: LoadReport = { ...createReport(OLD), state: "leaving" };
  expect(plan([createEngine({ report })], { now: 6, floor: 0 })).toEqual([]);
});

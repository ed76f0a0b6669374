import type {
  PlannedEngine,
  PlannerInput,
  PlannerStep,
  PlannerTimes,
  WaitReason,
} from "./engine_plan.ts";
import {
  grantKey,
  isAsDesired,
  isSameState,
  listMissingWeights,
} from "./engine_match.ts";

const DEFAULT_TIMES: PlannerTimes = {
  routingSettleMilliseconds: 3_000,
  reportTimeoutMilliseconds: 5_000,
  loadTimeoutMilliseconds: 600_000,
};

/**
 * Compares reported engine states with desired states and returns the next
 * steps.
 *
 * An engine is first removed from routing, and ordered once every daemon has
 * stopped using it and its in-flight work has drained, so that no request is
 * cut off. That also applies to engines that seem to serve nothing, because
 * reports lag. Per availability zone, one engine changes at a time. An engine
 * that loads for too long is ordered again and keeps blocking its zone, so that
 * a version that cannot load stops after one engine per zone. A change never
 * reduces a model below its minimum of ready engines; an engine that is waiting
 * to drain returns to routing if others fail and the minimum requires it. No
 * load starts without a grant of the weight store, and an engine is not removed
 * from routing before its grants are available.
 *
 * Steps depend on reports alone, not on the sender of an order. A wrong state
 * that a stale holder's order caused at an endpoint that does not check fencing
 * numbers is therefore corrected like any other.
 *
 * Source: the brief, "What the platform gives" and "What must always hold".
 */
export function planOrders(
  input: PlannerInput,
  times: Partial<PlannerTimes> = {},
): readonly PlannerStep[] {
  return new Planning(input, { ...DEFAULT_TIMES, ...times }).plan();
}

class Planning {
  readonly #input: PlannerInput;
  readonly #times: PlannerTimes;
  readonly #steps: PlannerStep[] = [];
  readonly #busyZones = new Set<string>();
  readonly #grants: Map<string, number>;
  readonly #ready = new Map<string, number>();

  constructor(input: PlannerInput, times: PlannerTimes) {
    this.#input = input;
    this.#times = times;
    this.#grants = new Map(input.grants);
  }

  plan(): readonly PlannerStep[] {
    const engines = this.#input.engines.filter((engine) =>
      engine.report?.state !== "leaving"
    ).toSorted((left, right) => left.endpointId < right.endpointId ? -1 : 1);
    for (const engine of engines) this.#countServing(engine);
    const changing = engines.filter((engine) => this.#isChanging(engine));
    const open = engines.filter((engine) => !changing.includes(engine));
    const takenOut = open.filter(isRemovedFromRouting);
    for (const { availabilityZone } of [...changing, ...takenOut]) {
      this.#busyZones.add(availabilityZone);
    }
    for (const engine of changing) this.#superviseOrder(engine);
    for (const engine of takenOut) this.#continueRemoved(engine);
    const others = open.filter((engine) => !isRemovedFromRouting(engine));
    // Engines that serve nothing go first: they raise the ready counts for the
    // others.
    for (const engine of others) if (servesNothing(engine)) this.#start(engine);
    for (const engine of others) {
      if (!servesNothing(engine)) this.#start(engine);
    }
    return this.#steps;
  }

  #countServing(engine: PlannedEngine): void {
    if (!this.#isServing(engine)) return;
    for (const model of Object.keys(engine.report?.models ?? {})) {
      this.#ready.set(model, (this.#ready.get(model) ?? 0) + 1);
    }
  }

  #isServing(engine: PlannedEngine): boolean {
    return engine.report?.state === "ready" && !isRemovedFromRouting(engine) &&
      !this.#isChanging(engine);
  }

  /** True while this holder's order for the desired state is in progress. */
  #isChanging(engine: PlannedEngine): boolean {
    const { lastOrder, desired, report } = engine;
    if (lastOrder === undefined || !isOrdered(engine)) return false;
    if (isAsDesired(report, desired)) return false;
    const isFresh =
      this.#input.now - lastOrder.at < this.#times.reportTimeoutMilliseconds;
    return isFresh || report?.state === "loading";
  }

  #superviseOrder(engine: PlannedEngine): void {
    const orderedAt = engine.lastOrder?.at ?? this.#input.now;
    const isStuck =
      this.#input.now - orderedAt >= this.#times.loadTimeoutMilliseconds;
    if (isStuck) this.#order(engine);
    else this.#wait(engine, "loading");
  }

  #continueRemoved(engine: PlannedEngine): void {
    const { endpointId, report, desired } = engine;
    if (isAsDesired(report, desired) || this.#isNeeded(engine)) {
      this.#steps.push({ type: "put_back", endpointId });
    } else if (this.#isDrained(engine)) this.#order(engine);
    else {
      this.#reserveGrants(engine);
      this.#wait(engine, "draining");
    }
  }

  #start(engine: PlannedEngine): void {
    const { endpointId, availabilityZone, report, desired } = engine;
    if (report === undefined) return this.#wait(engine, "no_report");
    if (isAsDesired(report, desired)) return;
    if (this.#busyZones.has(availabilityZone)) {
      return this.#wait(engine, "zone");
    }
    if (!this.#isAboveFloor(engine)) return this.#wait(engine, "floor");
    if (this.#reserveGrants(engine) === undefined) {
      return this.#wait(engine, "grant");
    }
    this.#busyZones.add(availabilityZone);
    for (const model of Object.keys(report.models)) {
      this.#ready.set(model, (this.#ready.get(model) ?? 0) - 1);
    }
    this.#steps.push({ type: "take_out", endpointId });
  }

  #order(engine: PlannedEngine): void {
    const { endpointId, desired } = engine;
    const grants = this.#reserveGrants(engine);
    if (grants === undefined) this.#wait(engine, "grant");
    else this.#steps.push({ type: "order", endpointId, desired, grants });
  }

  #wait({ endpointId }: PlannedEngine, reason: WaitReason): void {
    this.#steps.push({ type: "wait", endpointId, reason });
  }

  /** Reserves the grants that an engine needs, or requests the missing ones. */
  #reserveGrants({ report, desired }: PlannedEngine): string[] | undefined {
    if (report === undefined) return undefined;
    const loads = listMissingWeights(report, desired);
    const missing = loads.filter(({ model, version }) =>
      (this.#grants.get(grantKey(model, version)) ?? 0) < 1
    );
    for (const load of missing) {
      this.#steps.push({ type: "request_grant", ...load });
    }
    if (missing.length > 0) return undefined;
    return loads.map(({ model, version }) => {
      const key = grantKey(model, version);
      this.#grants.set(key, (this.#grants.get(key) ?? 0) - 1);
      return key;
    });
  }

  #isAboveFloor({ report }: PlannedEngine): boolean {
    return Object.keys(report?.models ?? {}).every((model) =>
      this.#countReady(model) - 1 >= this.#minimumReadyOf(model)
    );
  }

  /** True if a model that the engine still serves is below its minimum. */
  #isNeeded(engine: PlannedEngine): boolean {
    const { report } = engine;
    if (report?.state !== "ready" || isOrdered(engine)) return false;
    return Object.keys(report.models).some((model) =>
      this.#countReady(model) < this.#minimumReadyOf(model)
    );
  }

  #countReady(model: string): number {
    return this.#ready.get(model) ?? 0;
  }

  #minimumReadyOf(model: string): number {
    return this.#input.minimumReady.get(model) ?? 0;
  }

  /**
   * Other daemons may still send calls, and reports lag: only a report that
   * arrived after all daemons stopped proves that the engine is idle.
   */
  #isDrained(engine: PlannedEngine): boolean {
    const { removedFromRoutingAt = Infinity, reportAt = -Infinity, report } =
      engine;
    const settledAt = removedFromRoutingAt +
      this.#times.routingSettleMilliseconds;
    const isEmpty = report !== undefined && engine.inFlight === 0 &&
      report.running === 0 && report.waiting === 0;
    return isEmpty && reportAt >= settledAt;
  }
}

function isRemovedFromRouting(engine: PlannedEngine): boolean {
  return engine.removedFromRoutingAt !== undefined;
}

/**
 * True if the engine was ordered into the desired state after its removal from
 * routing. An earlier order says nothing about its current state.
 */
function isOrdered(engine: PlannedEngine): boolean {
  const { lastOrder, desired, removedFromRoutingAt = Infinity } = engine;
  return lastOrder !== undefined && lastOrder.at >= removedFromRoutingAt &&
    isSameState(lastOrder.desired, desired);
}

function servesNothing({ report }: PlannedEngine): boolean {
  return report?.state !== "ready" || Object.keys(report.models).length === 0;
}

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
  listMissingLoads,
} from "./engine_match.ts";

const DEFAULT_TIMES: PlannerTimes = {
  routingMilliseconds: 3_000,
  reportMilliseconds: 5_000,
  loadMilliseconds: 600_000,
};

/**
 * Compares what engines report with what is desired and gives the next steps.
 *
 * An engine is first taken out of routing, and ordered once every daemon has
 * stopped using it and its work has drained, so that no request is cut. That
 * holds for engines that seem to serve nothing as well, since reports lag. Per availability zone one engine changes at a time; an engine that
 * loads for too long is ordered again and goes on to hold its zone up, so that
 * a version that cannot load stops after one engine a zone. A model never
 * falls below its floor of ready engines by a change; an engine that waits to
 * drain is put back when others fail and the floor needs it. No load starts
 * without a grant of the weight store, and an engine is not taken out before
 * its grants are there.
 *
 * Steps depend on reports alone, not on who ordered what. A wrong state that a
 * stale holder's order left on an endpoint that does not check fencing numbers
 * is therefore corrected like any other.
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
    for (const engine of engines) this.#count(engine);
    const changing = engines.filter((engine) => this.#isChanging(engine));
    const open = engines.filter((engine) => !changing.includes(engine));
    const takenOut = open.filter(isTakenOut);
    for (const { availabilityZone } of [...changing, ...takenOut]) {
      this.#busyZones.add(availabilityZone);
    }
    for (const engine of changing) this.#watch(engine);
    for (const engine of takenOut) this.#goOn(engine);
    const others = open.filter((engine) => !isTakenOut(engine));
    // Those that serve nothing go first: they add to the floor of the others.
    for (const engine of others) if (servesNothing(engine)) this.#start(engine);
    for (const engine of others) {
      if (!servesNothing(engine)) this.#start(engine);
    }
    return this.#steps;
  }

  #count(engine: PlannedEngine): void {
    if (!this.#isServing(engine)) return;
    for (const model of Object.keys(engine.report?.models ?? {})) {
      this.#ready.set(model, (this.#ready.get(model) ?? 0) + 1);
    }
  }

  #isServing(engine: PlannedEngine): boolean {
    return engine.report?.state === "ready" && !isTakenOut(engine) &&
      !this.#isChanging(engine);
  }

  /** True while our order for the desired state is not settled. */
  #isChanging(engine: PlannedEngine): boolean {
    const { ordered, desired, report } = engine;
    if (ordered === undefined || !isOrdered(engine)) return false;
    if (isAsDesired(report, desired)) return false;
    const isFresh =
      this.#input.now - ordered.at < this.#times.reportMilliseconds;
    return isFresh || report?.state === "loading";
  }

  #watch(engine: PlannedEngine): void {
    const orderedAt = engine.ordered?.at ?? this.#input.now;
    const isStuck = this.#input.now - orderedAt >= this.#times.loadMilliseconds;
    if (isStuck) this.#order(engine);
    else this.#wait(engine, "loading");
  }

  #goOn(engine: PlannedEngine): void {
    const { endpointId, report, desired } = engine;
    if (isAsDesired(report, desired) || this.#isNeeded(engine)) {
      this.#steps.push({ type: "put_back", endpointId });
    } else if (this.#isDrained(engine)) this.#order(engine);
    else {
      this.#takeGrants(engine);
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
    if (this.#takeGrants(engine) === undefined) {
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
    const grants = this.#takeGrants(engine);
    if (grants === undefined) this.#wait(engine, "grant");
    else this.#steps.push({ type: "order", endpointId, desired, grants });
  }

  #wait({ endpointId }: PlannedEngine, reason: WaitReason): void {
    this.#steps.push({ type: "wait", endpointId, reason });
  }

  /** Sets aside the grants an engine needs, or asks for what is missing. */
  #takeGrants({ report, desired }: PlannedEngine): string[] | undefined {
    if (report === undefined) return undefined;
    const loads = listMissingLoads(report, desired);
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
      this.#countReady(model) - 1 >= this.#floorOf(model)
    );
  }

  /** True when the floor of a model that it still serves is not met. */
  #isNeeded(engine: PlannedEngine): boolean {
    const { report } = engine;
    if (report?.state !== "ready" || isOrdered(engine)) return false;
    return Object.keys(report.models).some((model) =>
      this.#countReady(model) < this.#floorOf(model)
    );
  }

  #countReady(model: string): number {
    return this.#ready.get(model) ?? 0;
  }

  #floorOf(model: string): number {
    return this.#input.minimumReady.get(model) ?? 0;
  }

  /**
   * Another daemon may still send to it, and its report lags: only a report
   * that arrived after all daemons had stopped proves that it is empty.
   */
  #isDrained(engine: PlannedEngine): boolean {
    const { takenOutAt = Infinity, reportAt = -Infinity, report } = engine;
    const settledAt = takenOutAt + this.#times.routingMilliseconds;
    const isEmpty = report !== undefined && engine.inFlight === 0 &&
      report.running === 0 && report.waiting === 0;
    return isEmpty && reportAt >= settledAt;
  }
}

function isTakenOut(engine: PlannedEngine): boolean {
  return engine.takenOutAt !== undefined;
}

/**
 * True when it was ordered into the desired state since it was taken out. An
 * order from before it was put back says nothing of what it does now.
 */
function isOrdered(engine: PlannedEngine): boolean {
  const { ordered, desired, takenOutAt = Infinity } = engine;
  return ordered !== undefined && ordered.at >= takenOutAt &&
    isSameState(ordered.desired, desired);
}

function servesNothing({ report }: PlannedEngine): boolean {
  return report?.state !== "ready" || Object.keys(report.models).length === 0;
}

import type { PlannedEngine } from "kelpspar-decisions/leases";
import type { Measurement, Subject } from "./measurement.ts";
import { planEngineTargets, planOrders } from "kelpspar-decisions/leases";
import { measureOperation, measureState } from "./measure.ts";
import {
  listNames,
  MODEL_COUNT,
  nameOf,
  sampleReport,
  zoneOf,
} from "./samples.ts";

const RUNNER_COUNTS = [10, 100, 500, 2_500] as const;

/** Measures order planning by number of engines, all in the desired state. */
export function* measureOrders(): Generator<Measurement> {
  for (const size of RUNNER_COUNTS) {
    const subject = (name: string): Subject => ({
      role: "engine orders",
      name,
      unit: "runners",
      size,
    });
    const engines = sampleEngines(size);
    const input = {
      now: 1,
      engines,
      minimumReady: new Map(),
      grants: new Map(),
    };
    yield measureOperation(subject("planOrders"), () => planOrders(input));
    const places = engines.map(({ endpointId }) => ({
      endpointId,
      role: "any" as const,
    }));
    const models = listNames("model", MODEL_COUNT).map((id) => ({
      id,
      version: "2025.3",
      adapters: [],
      minimumReady: 1,
    }));
    yield measureOperation(
      subject("planEngineTargets, 29 models"),
      () => planEngineTargets(places, { models }),
    );
    yield measureState(subject("planned engines"), () => sampleEngines(size));
  }
}

function sampleEngines(count: number): PlannedEngine[] {
  return Array.from({ length: count }, (_, index) => {
    const report = sampleReport(index, 1);
    const { models, adapters, role } = report;
    return {
      endpointId: nameOf("runner", index),
      availabilityZone: zoneOf(index),
      desired: { models, adapters, role },
      report,
      reportAt: 0,
      inFlight: 1,
    };
  });
}

import type { Measurement, Subject } from "./measurement.ts";
import { chooseEndpoint, EndpointRegistry } from "kelpspar-decisions/routing";
import { SeededRandom } from "kelpspar-shared";
import { countBytes, measureOperation, measureState } from "./measure.ts";
import { nameOf, sampleEndpoints, sampleReport, zoneOf } from "./samples.ts";

const RUNNER_COUNTS = [10, 100, 500, 2_500] as const;
const SEED = 1;

/** Measures the runner watcher and the router by number of runners. */
export function* measureEndpoints(): Generator<Measurement> {
  for (const size of RUNNER_COUNTS) yield* measureSize(size);
}

function* measureSize(size: number): Generator<Measurement> {
  const subject = (role: string, name: string): Subject => ({
    role,
    name,
    unit: "runners",
    size,
  });
  const registry = createRegistry(size);
  const rows = sampleEndpoints(size);
  yield measureState(
    subject("runner watcher", "registry"),
    () => createRegistry(size),
  );
  const list = JSON.stringify(rows.map(toVmRow));
  yield {
    ...measureOperation(
      subject("runner watcher", "VM list answer, JSON.parse"),
      () => JSON.parse(list),
    ),
    messageBytes: countBytes(rows.map(toVmRow)),
  };
  yield {
    ...subject("runner watcher", "load report"),
    messageBytes: countBytes(sampleReport(1, 86_400)),
  };
  yield measureOperation(
    subject("runner watcher", "report"),
    (index) =>
      registry.report({
        endpointId: nameOf("runner", index % size),
        report: sampleReport(index % size, index + 2),
        now: index,
        direct: true,
      }),
  );
  yield measureOperation(
    subject("runner watcher", "replaceList"),
    (index) => registry.replaceList(rows, index),
  );
  yield measureOperation(
    subject("runner watcher", "probesDue and judge"),
    () => {
      registry.probesDue(0);
      registry.ejectLatencyOutliers(0);
    },
  );
  yield measureOperation(
    subject("operators", "status"),
    (index) => registry.status(index),
  );
  yield measureOperation(
    subject("scheduler", "capacity of a service, summed"),
    (index) => sumCapacity(registry, index),
  );
  const random = new SeededRandom(SEED);
  yield measureOperation(
    subject("scheduler", "chooseEndpoint"),
    (index) =>
      chooseEndpoint(registry, {
        service: "engine",
        model: nameOf("model", 1),
        zone: zoneOf(1),
        now: index,
        random,
      }),
  );
}

/** The sum that the fair scheduler computes for a service at each dispatch. */
function sumCapacity(registry: EndpointRegistry, now: number): number {
  let capacity = 0;
  for (
    const tier of registry.candidates("engine", "")?.tiersFrom(zoneOf(1)) ?? []
  ) {
    for (const entry of tier) capacity += entry.capacityAt(now);
  }
  return capacity;
}

function createRegistry(size: number): EndpointRegistry {
  const registry = new EndpointRegistry();
  registry.replaceList(sampleEndpoints(size), 0);
  for (let index = 0; index < size; index++) {
    const endpointId = nameOf("runner", index);
    const report = sampleReport(index, 1);
    registry.report({ endpointId, report, now: 0, direct: true });
  }
  return registry;
}

function toVmRow(row: ReturnType<typeof sampleEndpoints>[number]): unknown {
  const { endpointId, ...rest } = row.address;
  return { id: endpointId, ...rest, kind: "endpoint", state: row.state };
}

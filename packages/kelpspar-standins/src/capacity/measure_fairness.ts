import type { Measurement, Subject } from "./measurement.ts";
import {
  computeFleetShares,
  FairQueue,
  FleetView,
} from "kelpspar-decisions/fairness";
import { SeededRandom } from "kelpspar-shared";
import { measureOperation, measureState } from "./measure.ts";
import { listNames, nameOf, sampleDemand, zoneOf } from "./samples.ts";

const ACCOUNT_COUNTS = [5, 50, 380] as const;
/**
 * Numbers of daemons whose digests are stored. A daemon in a fleet of 340
 * receives digests of 69.
 */
const PEER_COUNTS = [1, 7, 33, 69, 339] as const;
const DEMAND_ROWS_PER_PEER = 12;
const SEED = 1;

/** Measures the scheduler by number of accounts and of peer digests. */
export function* measureFairness(): Generator<Measurement> {
  for (const size of ACCOUNT_COUNTS) {
    yield measureQueue(size);
    yield measureShares(size);
    yield measureState(
      { role: "scheduler", name: "queue", unit: "calls waiting", size },
      () => createFilledQueue(size),
    );
  }
  for (const size of PEER_COUNTS) yield* measureView(size);
}

function measureQueue(size: number): Measurement {
  const queue = createFilledQueue(size);
  return measureOperation(
    createSubject("enqueue and dequeue", { unit: "accounts", size }),
    (index) => {
      queue.enqueue(callOf(nameOf("account", index % size)), index);
      queue.dequeue(index);
    },
  );
}

function measureShares(size: number): Measurement {
  const ids = listNames("account", size);
  const rows = ids.map((accountId) => ({
    accountId,
    demand: 3,
    usageRate: 100,
  }));
  const input = {
    totalConcurrency: 1_000,
    liveDaemons: 340,
    own: rows.slice(0, 12),
    peers: { daemons: 51, accounts: rows },
    shares: new Map(ids.map((id) => [id, 1 / size])),
  };
  return measureOperation(
    createSubject("computeFleetShares, a service", { unit: "accounts", size }),
    () => computeFleetShares(input),
  );
}

function* measureView(size: number): Generator<Measurement> {
  const subject = (name: string): Subject =>
    createSubject(name, { unit: "daemons heard", size });
  const view = createFilledView(size);
  yield measureOperation(
    subject("FleetView.peers (mergeDemand over all)"),
    () => view.peers(1),
  );
  yield measureState(subject("FleetView"), () => createFilledView(size));
}

function createFilledQueue(accounts: number): FairQueue<number> {
  const queue = new FairQueue<number>({ random: new SeededRandom(SEED) });
  for (const id of listNames("account", accounts)) queue.enqueue(callOf(id), 0);
  return queue;
}

function callOf(
  accountId: string,
): Parameters<FairQueue<number>["enqueue"]>[0] {
  return {
    accountId,
    priority: 5,
    deadlineAt: Number.MAX_SAFE_INTEGER,
    estimatedCost: 50,
    bytes: 2_000,
    item: 1,
  };
}

function createFilledView(peers: number): FleetView {
  const view = new FleetView({
    incarnation: "self-1",
    availabilityZone: zoneOf(0),
  });
  for (let daemon = 0; daemon < peers; daemon++) {
    const options = {
      daemon,
      sequence: 1,
      rows: DEMAND_ROWS_PER_PEER,
      endpoints: 0,
    };
    view.accept(sampleDemand(options), 0);
  }
  return view;
}

function createSubject(
  name: string,
  of: { readonly unit: string; readonly size: number },
): Subject {
  return { role: "scheduler", name, ...of };
}

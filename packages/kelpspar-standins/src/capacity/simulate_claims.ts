import type { ClaimBatch, ClaimState } from "kelpspar-decisions/claims";
import type { RandomSource } from "kelpspar-shared";
import { ClaimBatcher } from "kelpspar-decisions/claims";
import { SeededRandom } from "kelpspar-shared";

const SIMULATED_MILLISECONDS = 60_000;
const REQUEST_DURATION_MILLISECONDS = 600;
const TABLE_LATENCY_MILLISECONDS = 5;
const SEED = 1;

/** The claim load of one daemon. */
export interface ClaimLoad {
  readonly requestsPerSecond: number;
  /** How long a batch waits for further claims, in milliseconds. */
  readonly lingerMilliseconds: number;
}

/** The table traffic that the claims cause. */
export interface ClaimTraffic {
  readonly transactionsPerSecond: number;
  readonly rowsPerTransaction: number;
  /** The last transaction, as an example. */
  readonly sample: unknown;
}

interface SimulatedEvent {
  readonly at: number;
  readonly run: () => void;
}

/**
 * Drives a `ClaimBatcher` in simulated time, in steps of one millisecond. Claims
 * arrive at random; the table answers after 5 ms, and requests complete after
 * 600 ms.
 */
export function simulateClaims(load: ClaimLoad): ClaimTraffic {
  const random = new SeededRandom(SEED);
  const batcher = new ClaimBatcher({
    lingerMilliseconds: load.lingerMilliseconds,
  });
  let later: SimulatedEvent[] = [];
  let rows = 0;
  let transactions = 0;
  let operations = 0;
  let sample: unknown;
  const add = (name: string, options: {
    readonly kind: "claim" | "done";
    readonly now: number;
  }): void => batcher.add(createClaimWrite(name, options.kind), options.now);
  const begin = (now: number): void => {
    const name = String(operations++);
    add(name, { kind: "claim", now });
    const at = now + REQUEST_DURATION_MILLISECONDS;
    later.push({ at, run: () => add(name, { kind: "done", now: at }) });
  };
  const send = (batch: ClaimBatch, now: number): void => {
    const { writes } = batch.transaction;
    rows += writes.length;
    transactions++;
    sample = batch.transaction;
    const versions = writes.map(() => 1);
    later.push({
      at: now + TABLE_LATENCY_MILLISECONDS,
      run: () => {
        batcher.completeBatch(batch.batchId, { committed: true, versions });
      },
    });
  };
  for (let now = 0; now < SIMULATED_MILLISECONDS; now++) {
    for (let left = countArrivals(load, random); left > 0; left--) begin(now);
    const due = later.filter((event) => event.at <= now);
    if (due.length > 0) later = later.filter((event) => event.at > now);
    for (const event of due) event.run();
    for (;;) {
      const batch = batcher.takeBatch(now, { wallClock: now });
      if (batch === undefined) break;
      send(batch, now);
    }
  }
  return {
    transactionsPerSecond: 1_000 * transactions / SIMULATED_MILLISECONDS,
    rowsPerTransaction: rows / Math.max(1, transactions),
    sample,
  };
}

function countArrivals(load: ClaimLoad, random: RandomSource): number {
  const mean = load.requestsPerSecond / 1_000;
  return Math.floor(mean) + (random.next() < mean % 1 ? 1 : 0);
}

function createClaimWrite(
  name: string,
  kind: "claim" | "done",
): Parameters<ClaimBatcher["add"]>[0] {
  const state: ClaimState = kind === "claim" ? "claimed" : "done";
  return {
    kind,
    key: `account-0001/booking-${name}`,
    expectedVersion: kind === "claim" ? 0 : 1,
    content: {
      state,
      operationId: `operation-${name}-${kind}`,
      daemon: "daemon-0001-1",
      requestId: `daemon-0001-1-${name}`,
      bodyHash: "a".repeat(64),
    },
  };
}

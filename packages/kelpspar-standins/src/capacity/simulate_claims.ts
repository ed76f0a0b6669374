import type { ClaimBatch, ClaimState } from "kelpspar-decisions/claims";
import type { RandomSource } from "kelpspar-shared";
import { ClaimBatcher } from "kelpspar-decisions/claims";
import { SeededRandom } from "kelpspar-shared";

const SIMULATED_MILLISECONDS = 60_000;
const REQUEST_MILLISECONDS = 600;
const TABLE_MILLISECONDS = 5;
const SEED = 1;

/** One daemon's claims. */
export interface ClaimLoad {
  readonly requestsPerSecond: number;
  /** How long a claim waits for others, milliseconds. */
  readonly claimMilliseconds: number;
}

/** What became of them. */
export interface ClaimTraffic {
  readonly transactionsPerSecond: number;
  readonly rowsPerTransaction: number;
  /** One of the transactions. */
  readonly sample: unknown;
}

interface Event {
  readonly at: number;
  readonly run: () => void;
}

/**
 * Drives a `ClaimBatcher` by simulated time, a millisecond a step: claims come
 * at random moments, are answered by the table after 5 ms and done after 600.
 */
export function simulateClaims(load: ClaimLoad): ClaimTraffic {
  const random = new SeededRandom(SEED);
  const batcher = new ClaimBatcher({
    lingerMilliseconds: load.claimMilliseconds,
  });
  let later: Event[] = [];
  let rows = 0;
  let transactions = 0;
  let operations = 0;
  let sample: unknown;
  const add = (name: string, options: {
    readonly kind: "claim" | "done";
    readonly now: number;
  }): void => batcher.add(writeOf(name, options.kind), options.now);
  const begin = (now: number): void => {
    const name = String(operations++);
    add(name, { kind: "claim", now });
    const at = now + REQUEST_MILLISECONDS;
    later.push({ at, run: () => add(name, { kind: "done", now: at }) });
  };
  const send = (batch: ClaimBatch, now: number): void => {
    const { writes } = batch.transaction;
    rows += writes.length;
    transactions++;
    sample = batch.transaction;
    const versions = writes.map(() => 1);
    later.push({
      at: now + TABLE_MILLISECONDS,
      run: () => {
        batcher.completeBatch(batch.batchId, { committed: true, versions });
      },
    });
  };
  for (let now = 0; now < SIMULATED_MILLISECONDS; now++) {
    for (let left = arrivals(load, random); left > 0; left--) begin(now);
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

function arrivals(load: ClaimLoad, random: RandomSource): number {
  const mean = load.requestsPerSecond / 1_000;
  return Math.floor(mean) + (random.next() < mean % 1 ? 1 : 0);
}

function writeOf(
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

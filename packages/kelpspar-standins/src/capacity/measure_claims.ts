import type { Measurement, Subject } from "./measurement.ts";
import { KeyLedger } from "kelpspar-decisions/claims";
import { countBytes, measureOperation, measureState } from "./measure.ts";
import { nameOf } from "./samples.ts";
import { simulateClaims } from "./simulate_claims.ts";

const KEY_COUNTS = [100, 1_000, 10_000] as const;
const BODY_HASH = "a".repeat(64);
const RESULT_TEXT = "b".repeat(1_000);

/**
 * Fleet sizes and their requests per second that need claims: a tenth and all
 * of 1,300, at the target of 340 daemons and at 8 daemons, the size of present
 * sites.
 */
const CLAIM_LOADS = [
  { daemons: 340, claimsPerSecond: 130 },
  { daemons: 340, claimsPerSecond: 1_300 },
  { daemons: 8, claimsPerSecond: 130 },
  { daemons: 8, claimsPerSecond: 1_300 },
] as const;

/** Measures the cost of claims by number of keys and by claim rate. */
export function* measureClaims(): Generator<Measurement> {
  for (const size of KEY_COUNTS) yield* measureLedger(size);
  for (const load of CLAIM_LOADS) yield* measureBatches(load);
}

function* measureLedger(size: number): Generator<Measurement> {
  const subject = (name: string): Subject => ({
    role: "claims",
    name,
    unit: "keys",
    size,
  });
  yield measureState(
    subject("KeyLedger, 1,000-character results"),
    () => createFilledLedger(size),
  );
  yield {
    ...subject("KeyLedger, its own estimate of bytes"),
    count: createFilledLedger(size).bytes,
  };
  const ledger = createFilledLedger(size);
  yield measureOperation(subject("ledger begin and complete"), (index) => {
    completeRequest(ledger, size + index);
  });
}

function* measureBatches(
  load: typeof CLAIM_LOADS[number],
): Generator<Measurement> {
  const perDaemon = simulateClaims({
    requestsPerSecond: load.claimsPerSecond / load.daemons,
    lingerMilliseconds: 4,
  });
  const subject = (name: string): Subject => ({
    role: "claims",
    name,
    unit: `claims/s in all, ${load.daemons} daemons`,
    size: load.claimsPerSecond,
  });
  yield {
    ...subject("transactions/s of all daemons"),
    count: Math.round(perDaemon.transactionsPerSecond * load.daemons),
    messageBytes: countBytes(perDaemon.sample),
  };
  yield {
    ...subject("rows a transaction, hundredths"),
    count: Math.round(100 * perDaemon.rowsPerTransaction),
  };
}

function createFilledLedger(size: number): KeyLedger {
  const ledger = new KeyLedger({ incarnation: "daemon-0001-1", startedAt: 0 });
  for (let index = 0; index < size; index++) completeRequest(ledger, index);
  return ledger;
}

function completeRequest(ledger: KeyLedger, index: number): void {
  const request = {
    account: nameOf("account", index % 380),
    key: `booking-${index}`,
    requestId: `daemon-0001-1-${index}`,
    bodyHash: BODY_HASH,
  };
  ledger.begin(request, 0);
  const result = {
    // A separate string for each entry: a shared one would be counted once.
    text: `${index}${RESULT_TEXT}`.slice(0, RESULT_TEXT.length),
    checksum: "0a0b0c0d",
    length: RESULT_TEXT.length,
    cost: [],
  };
  ledger.complete(request, { result, now: 0 });
}

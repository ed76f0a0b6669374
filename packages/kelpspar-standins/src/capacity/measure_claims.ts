import type { Measurement, Subject } from "./measurement.ts";
import { KeyLedger } from "kelpspar-decisions/claims";
import { countBytes, measureOperation, measureState } from "./measure.ts";
import { nameOf } from "./samples.ts";
import { simulateClaims } from "./simulate_claims.ts";

const KEYS = [100, 1_000, 10_000] as const;
const BODY_HASH = "a".repeat(64);
const RESULT_TEXT = "b".repeat(1_000);

/**
 * Daemons and their requests a second that need claims: a tenth and all of
 * 1,300, over the 340 of the target and the 8 of today's sites.
 */
const LOADS = [
  { daemons: 340, claimsPerSecond: 130 },
  { daemons: 340, claimsPerSecond: 1_300 },
  { daemons: 8, claimsPerSecond: 130 },
  { daemons: 8, claimsPerSecond: 1_300 },
] as const;

/** The costs of claims by keys and by rate. */
export function* measureClaims(): Generator<Measurement> {
  for (const size of KEYS) yield* measureLedger(size);
  for (const load of LOADS) yield* measureBatches(load);
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
    () => fillLedger(size),
  );
  yield {
    ...subject("KeyLedger, its own estimate of bytes"),
    count: fillLedger(size).bytes,
  };
  const ledger = fillLedger(size);
  yield measureOperation(subject("ledger begin and complete"), (index) => {
    run(ledger, size + index);
  });
}

function* measureBatches(
  load: typeof LOADS[number],
): Generator<Measurement> {
  const perDaemon = simulateClaims({
    requestsPerSecond: load.claimsPerSecond / load.daemons,
    claimMilliseconds: 4,
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

function fillLedger(size: number): KeyLedger {
  const ledger = new KeyLedger({ incarnation: "daemon-0001-1", startedAt: 0 });
  for (let index = 0; index < size; index++) run(ledger, index);
  return ledger;
}

function run(ledger: KeyLedger, index: number): void {
  const request = {
    account: nameOf("account", index % 380),
    key: `booking-${index}`,
    requestId: `daemon-0001-1-${index}`,
    bodyHash: BODY_HASH,
  };
  ledger.begin(request, 0);
  const result = {
    // Made anew, or every entry would share one text.
    text: `${index}${RESULT_TEXT}`.slice(0, RESULT_TEXT.length),
    checksum: "0a0b0c0d",
    length: RESULT_TEXT.length,
    cost: [],
  };
  ledger.complete(request, { result, now: 0 });
}

import { expect } from "earl";
import { test } from "node:test";
import { ReaderLedger } from "../../placement/reader_ledger.ts";

const PARTS = [{ id: "a", tokens: 100 }, { id: "b", tokens: 50 }];

function place(
  ledger: ReaderLedger,
  attemptId: string,
  options: { readonly endpointId: string; readonly now: number },
): void {
  const { endpointId, now } = options;
  ledger.placed(attemptId, {
    place: { endpointId },
    parts: PARTS,
    tokens: 400,
    now,
  });
}

test("tokens wait until the request was read, or for a bounded time", () => {
  const ledger = new ReaderLedger();
  place(ledger, "r1", { endpointId: "e1", now: 0 });
  place(ledger, "r2", { endpointId: "e1", now: 0 });
  expect(ledger.waitingTokens("e1", 10)).toEqual(800);
  ledger.ended("r1");
  expect(ledger.waitingTokens("e1", 10)).toEqual(400);
  expect(ledger.waitingTokens("e1", 5_000)).toEqual(0);
});

test("a prompt is kept up to the first part that isn't, for a while", () => {
  const ledger = new ReaderLedger();
  place(ledger, "r1", { endpointId: "e1", now: 0 });
  expect(ledger.heldTokens("e1", PARTS, 10)).toEqual(150);
  expect(ledger.heldTokens("e2", PARTS, 10)).toEqual(0);
  const other = [{ id: "a", tokens: 100 }, { id: "c", tokens: 70 }];
  expect(ledger.heldTokens("e1", other, 10)).toEqual(100);
  expect(ledger.heldTokens("e1", PARTS, 60_000)).toEqual(0);
});

test("an endpoint that is gone keeps nothing and nothing waits there", () => {
  // Symptom: requests were sent to an endpoint that had just started again, to
  // save prompts that it didn't have.
  // Sequence: it crashed and was started under its id within two heartbeats.
  // Cause: what was known of the id was believed of the new life.
  const ledger = new ReaderLedger();
  place(ledger, "r1", { endpointId: "e1", now: 0 });
  ledger.endpointGone("e1");
  expect(ledger.heldTokens("e1", PARTS, 10)).toEqual(0);
  expect(ledger.waitingTokens("e1", 10)).toEqual(0);
});

import { expect } from "earl";
import { test } from "node:test";
import { EndpointMemory } from "../../placement/endpoint_memory.ts";
import { ReaderLedger } from "../../placement/reader_ledger.ts";

const PARTS = [{ id: "a", tokens: 100 }, { id: "b", tokens: 50 }];

function place(ledger: ReaderLedger, attemptId: string): void {
  ledger.memoryOf("e1", 1_000);
  ledger.placed(attemptId, {
    endpointId: "e1",
    parts: PARTS,
    tokens: 400,
    now: 0,
  });
}

test("tokens wait until the request was read, or for a bounded time", () => {
  const ledger = new ReaderLedger();
  place(ledger, "r1");
  place(ledger, "r2");
  expect(ledger.waitingTokens("e1", 10)).toEqual(800);
  ledger.ended("r1");
  expect(ledger.waitingTokens("e1", 10)).toEqual(400);
  expect(ledger.waitingTokens("e1", 5_000)).toEqual(0);
});

test("a prompt is kept up to the first part that isn't, for a while", () => {
  const memory = new EndpointMemory(1_000);
  memory.use(PARTS, 0);
  expect(memory.heldTokens(PARTS, 10)).toEqual(150);
  const other = [{ id: "a", tokens: 100 }, { id: "c", tokens: 70 }];
  expect(memory.heldTokens(other, 10)).toEqual(100);
  expect(memory.heldTokens(PARTS, 60_000)).toEqual(0);
});

test("what was used longest ago yields when memory is full", () => {
  const memory = new EndpointMemory(250);
  memory.use([{ id: "a", tokens: 100 }], 0);
  memory.use([{ id: "b", tokens: 100 }], 1);
  memory.use([{ id: "a", tokens: 100 }], 2);
  expect(memory.freeTokens).toEqual(50);
  memory.use([{ id: "c", tokens: 100 }], 3);
  const isKept = (id: string): boolean =>
    memory.heldTokens([{ id, tokens: 100 }], 4) > 0;
  expect(["a", "b", "c"].map(isKept)).toEqual([true, false, true]);
});

test("an endpoint that is gone keeps nothing and nothing waits there", () => {
  // Symptom: requests were sent to an endpoint that had just started again, to
  // save prompts that it didn't have.
  // Sequence: it crashed and was started under its id within two heartbeats.
  // Cause: what was known of the id was believed of the new life.
  const ledger = new ReaderLedger();
  place(ledger, "r1");
  ledger.endpointGone("e1");
  expect(ledger.memoryOf("e1", 1_000).heldTokens(PARTS, 10)).toEqual(0);
  expect(ledger.waitingTokens("e1", 10)).toEqual(0);
});

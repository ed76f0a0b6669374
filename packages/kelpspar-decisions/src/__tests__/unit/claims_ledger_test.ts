import type {
  LedgerDecision,
  StageFacts,
  StoredResult,
} from "../../claims/mod.ts";
import { test } from "node:test";
import { expect } from "earl";
import fc from "fast-check";
import {
  decideOwnerAnswer,
  determineRefusalOutcome,
  formatEpochKey,
  KeyLedger,
  parseEpochKey,
} from "../../claims/mod.ts";

const LENGTHS = { minLength: 20, maxLength: 80 };
const KEEP = 100;
const KEEP_BYTES = 10;

const commandArbitrary = fc.record({
  type: fc.oneof(
    { weight: 8, arbitrary: fc.constantFrom("begin", "complete") },
    { weight: 1, arbitrary: fc.constantFrom("fail", "forget") },
  ),
  incarnation: fc.constantFrom("", "", "me", "me", "me", "you"),
  epochsBack: fc.constantFrom(0, 0, 0, 0, 1, 2, -1),
  rest: fc.constantFrom("1", "2", "3"),
  bodyHash: fc.constantFrom("x", "x", "x", "y"),
  text: fc.constantFrom("short", "short", "longer than ten"),
  wait: fc.constantFrom(0, 0, 0, 1, 2, 7, 30, 101),
});

type Command = typeof commandArbitrary extends fc.Arbitrary<infer T> ? T
  : never;

interface Moment {
  readonly now: number;
  readonly epoch: number;
}

interface NaiveEntry {
  readonly bodyHash: string;
  readonly requestId: string;
  readonly endedAt?: number;
  readonly result?: StoredResult;
}

function toResult(text: string): StoredResult {
  return { text, checksum: text, length: text.length, cost: [] };
}

function toKey(command: Command, epoch: number): string {
  const { incarnation, rest, epochsBack } = command;
  if (incarnation === "") return rest;
  const named = Math.max(0, epoch - epochsBack);
  return formatEpochKey({ incarnation, epoch: named, rest });
}

/** Reference implementation of the ledger without memory limits. */
class NaiveLedger {
  readonly entries = new Map<string, NaiveEntry>();

  begin(key: string, entry: NaiveEntry, at: Moment): LedgerDecision {
    const parsed = parseEpochKey(key);
    const epoch = typeof parsed === "string" ? undefined : parsed.epoch;
    const known = this.find(key, at);
    if (known !== undefined) {
      if (known.bodyHash !== entry.bodyHash) return { type: "reused" };
      const { requestId, result, endedAt } = known;
      if (endedAt === undefined) return { type: "attach", requestId };
      if (result === undefined) return refused("outcome_unknown");
      if (at.now - endedAt >= KEEP) return refused("result_expired");
      return { type: "completed", result };
    }
    if (typeof parsed !== "string") {
      if (parsed.incarnation !== "me") return refused("wrong_daemon");
      if (parsed.epoch > at.epoch) return refused("malformed_request");
      if (parsed.epoch < at.epoch - 1) return refused("outcome_unknown");
    }
    this.entries.set(key, entry);
    return { type: "run", bound: epoch !== undefined };
  }

  find(key: string, { now, epoch }: Moment): NaiveEntry | undefined {
    const parsed = parseEpochKey(key);
    const known = this.entries.get(key);
    if (known?.endedAt === undefined) return known;
    const isGone = typeof parsed === "string"
      ? now - known.endedAt >= KEEP
      : parsed.epoch < epoch - 1;
    if (isGone) this.entries.delete(key);
    return isGone ? undefined : known;
  }

  end(key: string, at: Moment, text: string | undefined): void {
    const known = this.find(key, at);
    const endedAt = at.now;
    if (known === undefined || known.result !== undefined) return;
    if (text === undefined) {
      this.entries.set(key, { ...known, endedAt });
      return;
    }
    const { checksum, length } = toResult(text);
    const result: StoredResult = text.length > KEEP_BYTES
      ? { tooLarge: true, checksum, length }
      : toResult(text);
    this.entries.set(key, { ...known, endedAt, result });
  }
}

function refused(
  result: Extract<LedgerDecision, { readonly type: "refused" }>["result"],
): LedgerDecision {
  return { type: "refused", result };
}

function play(
  commands: readonly Command[],
  totalBytes: number,
  check: (
    ledger: KeyLedger,
    told: LedgerDecision,
    expected: LedgerDecision,
  ) => void,
): void {
  const naive = new NaiveLedger();
  const ledger = new KeyLedger({
    incarnation: "me",
    startedAt: 0,
    resultKeepMilliseconds: KEEP,
    resultKeepBytes: KEEP_BYTES,
    totalBytes,
  });
  let now = 0;
  for (const [index, command] of commands.entries()) {
    now += command.wait;
    const epoch = Math.floor(now / KEEP);
    expect(ledger.advanceEpoch(now)).toEqual(epoch);
    const { bodyHash, text, type } = command;
    const key = toKey(command, epoch);
    const requestId = naive.entries.get(key)?.requestId ?? "none";
    const run = { account: "t", key, requestId };
    if (type === "begin") {
      const fresh = { bodyHash, requestId: String(index) };
      const told = ledger.begin({ ...run, ...fresh }, now);
      const expected = naive.begin(key, fresh, { now, epoch });
      check(ledger, told, expected);
      // Under memory pressure the two differ; continue with the ledger's
      // decision.
      if (told.type === "run") naive.entries.set(key, fresh);
      else if (expected.type === "run") naive.entries.delete(key);
    } else if (type === "forget") {
      ledger.discard(run);
      const isRunning = naive.entries.get(key)?.endedAt === undefined;
      if (isRunning) naive.entries.delete(key);
    } else {
      const isComplete = type === "complete";
      if (isComplete) ledger.complete(run, { result: toResult(text), now });
      else ledger.fail(run, now);
      naive.end(key, { now, epoch }, isComplete ? text : undefined);
    }
  }
}

test("the ledger decides like a reference map", () => {
  fc.assert(
    fc.property(fc.array(commandArbitrary, LENGTHS), (commands) => {
      play(commands, Infinity, (_ledger, told, expected) => {
        expect(told).toEqual(expected);
      });
    }),
    { numRuns: 2_000, seed: 11 },
  );
});

// Guards against a booking under a bound key that runs twice: the ledger's
// memory fills up between a run and its retry, and the record that the key ran
// is dropped to free memory.
test("a ledger under memory pressure never runs a bound key again", (t) => {
  const seen = new Map<string, number>();
  fc.assert(
    fc.property(fc.array(commandArbitrary, LENGTHS), (commands) => {
      play(commands, 1_200, (ledger, told, expected) => {
        const name = told.type === "refused" ? told.result : told.type;
        seen.set(name, (seen.get(name) ?? 0) + 1);
        expect(ledger.bytes <= 1_200).toEqual(true);
        if (told.type === "run" && told.bound) expect(expected).toEqual(told);
        if (told.type === "completed") expect(expected).toEqual(told);
      });
    }),
    { numRuns: 1_000, seed: 12 },
  );
  t.diagnostic(JSON.stringify(Object.fromEntries(seen)));
  for (const name of ["run", "completed", "overloaded"]) {
    expect(seen.get(name) ?? 0).toBeGreaterThan(100);
  }
});

test("a refusal reports not_run only with proof for each stage with an effect", () => {
  const proofs = ["connection_refused", "not_started", "unproved"] as const;
  const stageArbitrary = fc.record({
    effect: fc.constantFrom("none", "once"),
    calls: fc.array(fc.constantFrom(...proofs), { maxLength: 3 }),
  }) as fc.Arbitrary<StageFacts>;
  fc.assert(
    fc.property(fc.array(stageArbitrary, { maxLength: 4 }), (stages) => {
      const unproved = stages.filter(({ calls }) => calls.includes("unproved"));
      const hasOnce = stages.some(({ effect }) => effect === "once");
      const mayHaveRun = hasOnce
        ? unproved.some(({ effect }) => effect === "once")
        : unproved.length > 0;
      const outcome = mayHaveRun ? "outcome_unknown" : "not_run";
      expect(determineRefusalOutcome({ stages })).toEqual(outcome);
      expect(
        determineRefusalOutcome({ stages, earlierSubmissionUnanswered: true }),
      )
        .toEqual("outcome_unknown");
    }),
    { seed: 13 },
  );
});

test("a holder's answer about another operation counts as silence", () => {
  const held = {
    type: "held_elsewhere",
    daemon: "a",
    requestId: "r",
    operationId: "one",
  } as const;
  const result = toResult("text");
  const running = { type: "running", operationId: "two" } as const;
  const completed = { type: "completed", operationId: "two", result } as const;
  for (const answer of [running, completed]) {
    expect(decideOwnerAnswer(held, answer).type).toEqual("outcome_unknown");
  }
  expect(decideOwnerAnswer(held, { ...completed, operationId: "one" }))
    .toEqual({ type: "completed", result });
});

import type { ConfigurationRow } from "../../configuration/configuration_row.ts";
import { expect } from "earl";
import fc from "fast-check";
import { test } from "node:test";
import { ManualTimer, SeededRandom, toKelpsparError } from "kelpspar-shared";
import { InMemoryTable } from "kelpspar-standins";
import { ConfigurationApplier } from "../../operators/configuration_applier.ts";

const KEY = { table: "configuration", key: "current" } as const;
const BEYOND_APPLY_TIMEOUT_MILLISECONDS = 10_000;

const faults = fc.record({
  loseAnswerEvery: fc.nat(3),
  delayWriteEvery: fc.nat(3),
  delayWriteMilliseconds: fc.constantFrom(50, 700, 6_000),
  lostAnswer: fc.constantFrom("reset" as const, "hang" as const),
  latencyMilliseconds: fc.nat(5),
});

interface ApplyResult {
  readonly result: string;
  readonly row?: ConfigurationRow;
}

test("at most one of several concurrent changes is accepted, even if answers are lost", () =>
  // Failure: two operators both get success, or one gets a failure for a change
  // that is active. Several daemons apply changes to the same revision while
  // the table loses answers and delays writes; a lost answer is treated as a
  // refusal or as a success.
  fc.assert(
    fc.asyncProperty(faults, async (fault) => {
      const timer = new ManualTimer();
      const table = new InMemoryTable({ timer, faults: fault });
      const results = ["c1", "c2", "c3"].map((changeId, seed) => {
        const random = new SeededRandom(seed + 1);
        const applier = new ConfigurationApplier({ table, timer, random });
        return resultOf(applier.apply(createChange(changeId, changeId)));
      });
      await timer.advance(BEYOND_APPLY_TIMEOUT_MILLISECONDS);
      const stored = await readCurrent(table, timer);
      for (const [index, result] of (await Promise.all(results)).entries()) {
        const isStored = stored?.changeId === `c${index + 1}`;
        const allowedResults = isStored
          ? ["ok", "apply_unconfirmed"]
          : ["revision_conflict", "apply_unconfirmed", "store_unavailable"];
        expect(allowedResults.includes(result.result)).toEqual(true);
        if (result.row !== undefined) {
          expect([result.row]).toLooseEqual([stored]);
        }
      }
    }),
    { seed: 1, numRuns: 150 },
  ));

test("a repeated change id is answered with the configuration accepted first", async () => {
  // Failure: a daemon activates a configuration that was never accepted. An
  // operator applies a change, edits the file and sends it again with the same
  // change id; the answer is built from the request, not from the stored row.
  const timer = new ManualTimer();
  const table = new InMemoryTable({ timer });
  const random = new SeededRandom(1);
  const applier = new ConfigurationApplier({ table, timer, random });
  const first = await resultOf(applier.apply(createChange("c1", "accepted")));
  const again = await resultOf(applier.apply(createChange("c1", "edited")));
  expect(first.row?.configuration).toEqual("accepted");
  expect(["ok", "revision_conflict"].includes(again.result)).toEqual(true);
  if (again.row !== undefined) {
    expect(again.row).toEqual(first.row ?? again.row);
  }
});

function createChange(
  changeId: string,
  configuration: string,
): Parameters<ConfigurationApplier["apply"]>[0] {
  return { changeId, configuration, operator: "o", expectedRevision: 0 };
}

async function resultOf(
  apply: Promise<ConfigurationRow>,
): Promise<ApplyResult> {
  try {
    return { result: "ok", row: await apply };
  } catch (thrown) {
    return { result: toKelpsparError(thrown).result };
  }
}

async function readCurrent(
  table: InMemoryTable,
  timer: ManualTimer,
): Promise<ConfigurationRow | undefined> {
  const reading = table.read([KEY]);
  await timer.advance(10);
  const [row] = await reading;
  return row?.value as ConfigurationRow | undefined;
}

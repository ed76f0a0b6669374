import type { ConfigurationRow } from "../../configuration/configuration_row.ts";
import { expect } from "earl";
import fc from "fast-check";
import { test } from "node:test";
import { ManualTimer, SeededRandom, toKelpsparError } from "kelpspar-shared";
import { InMemoryTable } from "kelpspar-standins";
import { ConfigurationApplier } from "../../operators/configuration_applier.ts";

const KEY = { table: "configuration", key: "current" } as const;
const LONGER_THAN_PATIENCE_MILLISECONDS = 10_000;

const faults = fc.record({
  loseAnswerEvery: fc.nat(3),
  delayWriteEvery: fc.nat(3),
  delayWriteMilliseconds: fc.constantFrom(50, 700, 6_000),
  lostAnswer: fc.constantFrom("reset" as const, "hang" as const),
  latencyMilliseconds: fc.nat(5),
});

interface Ending {
  readonly result: string;
  readonly row?: ConfigurationRow;
}

test("of operators who race at most one is accepted, whatever answers are lost", () =>
  // Symptom: two operators are both told that theirs is in force, or one is
  // told that it failed and it is in force.
  // Sequence: several daemons are given a change each, built on the same
  // revision, while the table loses answers and lets writes in late.
  // Cause: a lost answer is taken for a refusal, or for a success.
  fc.assert(
    fc.asyncProperty(faults, async (fault) => {
      const timer = new ManualTimer();
      const table = new InMemoryTable({ timer, faults: fault });
      const endings = ["c1", "c2", "c3"].map((changeId, seed) => {
        const random = new SeededRandom(seed + 1);
        const applier = new ConfigurationApplier({ table, timer, random });
        return endingOf(applier.apply(createChange(changeId, changeId)));
      });
      await timer.advance(LONGER_THAN_PATIENCE_MILLISECONDS);
      const stored = await readCurrent(table, timer);
      for (const [index, ending] of (await Promise.all(endings)).entries()) {
        const isStored = stored?.changeId === `c${index + 1}`;
        const truths = isStored
          ? ["ok", "apply_unconfirmed"]
          : ["revision_conflict", "apply_unconfirmed", "store_unavailable"];
        expect(truths.includes(ending.result)).toEqual(true);
        if (ending.row !== undefined) {
          expect([ending.row]).toLooseEqual([stored]);
        }
      }
    }),
    { seed: 1, numRuns: 150 },
  ));

test("a change that was accepted before is answered by what was accepted", async () => {
  // Symptom: one daemon serves by a configuration that was never accepted.
  // Sequence: an operator applies a change, edits the file and sends it again
  // under the same change id; the daemon puts what it was given in force.
  // Cause: the answer is made from the request, not from the stored row.
  const timer = new ManualTimer();
  const table = new InMemoryTable({ timer });
  const random = new SeededRandom(1);
  const applier = new ConfigurationApplier({ table, timer, random });
  const first = await endingOf(applier.apply(createChange("c1", "accepted")));
  const again = await endingOf(applier.apply(createChange("c1", "edited")));
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

async function endingOf(apply: Promise<ConfigurationRow>): Promise<Ending> {
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

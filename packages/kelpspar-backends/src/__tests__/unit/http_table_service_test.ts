import type { TestContext } from "node:test";
import type { ScriptedAnswer } from "../support/scripted_server.ts";
import { expect } from "earl";
import { test } from "node:test";
import { ManualTimer, toKelpsparError } from "kelpspar-shared";
import { HttpTableService } from "../../mod.ts";
import {
  findClosedPort,
  json,
  neverAnswer,
  reset,
  ScriptedServer,
} from "../support/scripted_server.ts";

/** Fails a test that would otherwise wait forever. */
const TEST_OPTIONS = { timeout: 30_000 };
const TIMEOUT_MILLISECONDS = 1_000;
const KEY = { table: "t", key: "k" };
const WRITE = { writes: [{ ...KEY, value: 1, expectedVersion: 0 }] };
const CONFLICT = { committed: false, conflicts: [{ ...KEY, row: null }] };

/** The name, the server's answer, and the result of a commit and of a read. */
const CASES: readonly (readonly [string, ScriptedAnswer, string, string])[] = [
  ["429", json({}, 429), "table_unavailable", "table_unavailable"],
  ["503", json({}, 503), "table_unavailable", "table_unavailable"],
  ["a reset", reset, "write_unknown", "table_unavailable"],
  ["silence", neverAnswer, "write_unknown", "table_unavailable"],
];

for (const [name, answer, commit, read] of CASES) {
  test(
    `after ${name}, a write fails with ${commit} and a read with ${read}`,
    TEST_OPTIONS,
    async (t) => {
      // Guards against repeating a write that took effect: the table commits,
      // but its answer is lost, which is not a refusal. Only a status of the
      // table service proves that nothing was written.
      const { server, table, timer } = await startTable(t);
      server.answer = answer;
      const calls = [
        () => table.commit(WRITE),
        () => table.read([KEY]),
        () => table.scan({ table: "t", prefix: "", limit: 1 }),
      ];
      const results: string[] = [];
      for (const [index, call] of calls.entries()) {
        const result = resultOf(call());
        await server.waitForRequests(index + 1);
        if (answer === neverAnswer) await timer.advance(TIMEOUT_MILLISECONDS);
        results.push(await result);
      }
      expect(results).toEqual([commit, read, read]);
    },
  );
}

test(
  "committed, conflicting and unsent transactions have different results",
  TEST_OPTIONS,
  async (t) => {
    const { server, table, timer } = await startTable(t);
    const committed = { committed: true, versions: [1] } as const;
    server.answer = json(committed);
    expect(await table.commit(WRITE)).toEqual(committed);
    server.answer = json(CONFLICT, 409);
    expect(await table.commit(WRITE)).toLooseEqual(CONFLICT);
    expect(server.received.map(({ path }) => path))
      .toEqual(["/v1/transactions", "/v1/transactions"]);
    const origin = `http://127.0.0.1:${await findClosedPort()}`;
    const unreachable = new HttpTableService({ origin, timer });
    expect(await resultOf(unreachable.commit(WRITE))).toEqual(
      "table_unavailable",
    );
    await unreachable.close();
  },
);

async function startTable(t: TestContext): Promise<{
  readonly server: ScriptedServer;
  readonly table: HttpTableService;
  readonly timer: ManualTimer;
}> {
  const server = await ScriptedServer.start();
  const timer = new ManualTimer();
  const table = new HttpTableService({ origin: server.origin, timer });
  t.after(async () => {
    await table.close();
    await server.close();
  });
  return { server, table, timer };
}

async function resultOf(call: Promise<unknown>): Promise<string> {
  try {
    await call;
  } catch (thrown) {
    return toKelpsparError(thrown).result;
  }
  return "ok";
}

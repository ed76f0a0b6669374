import type { TestContext } from "node:test";
import { readFile } from "node:fs/promises";
import { test } from "node:test";
import { fileURLToPath } from "node:url";
import { expect } from "earl";
import { RESULT_CODES, SeededRandom } from "kelpspar-shared";
import { runCli } from "../../mod.ts";
import {
  breakOff,
  FakeOperatorDaemon,
  refuse,
  reply,
} from "./fake_operator_daemon.ts";
import { AutoAdvancingTimer } from "./auto_advancing_timer.ts";

const EXAMPLES = fileURLToPath(
  new URL("../../../../../examples/", import.meta.url),
);
const FILES = [`${EXAMPLES}base.json`, `${EXAMPLES}tillbrook.json`];
const APPLY = "POST /v1/operator/configuration";
const CHANGES = "GET /v1/operator/configuration/changes/";
const STATUS = "GET /v1/operator/status";
const CURRENT = "GET /v1/operator/configuration";

interface Run {
  readonly exitCode: number;
  readonly printed: string;
  readonly errors: string;
}

class TestSetup {
  readonly timer = new AutoAdvancingTimer();
  readonly files = new Map<string, string>();
  environment: Record<string, string> = { KELPSPAR_OPERATOR_KEY: "from-env" };

  constructor(readonly daemons: readonly FakeOperatorDaemon[]) {}

  async run(...commandLine: string[]): Promise<Run> {
    const printed: string[] = [];
    const errors: string[] = [];
    const exitCode = await runCli(commandLine, {
      output: {
        print: (text) => printed.push(text),
        printError: (text) => errors.push(text),
      },
      timer: this.timer,
      random: new SeededRandom(1),
      environment: this.environment,
      readFile: async (path) =>
        this.files.get(path) ?? await readFile(path, "utf8"),
    });
    const [text, error] = [printed, errors].map((list) => list.join("\n"));
    return { exitCode, printed: text ?? "", errors: error ?? "" };
  }

  /** The `--daemon` options of every daemon. */
  get places(): string[] {
    return this.daemons.flatMap(({ place }) => ["--daemon", place]);
  }
}

async function createTestSetup(
  context: TestContext,
  count = 1,
): Promise<TestSetup & { readonly first: FakeOperatorDaemon }> {
  const daemons: FakeOperatorDaemon[] = [];
  for (let index = 0; index < count; index++) {
    daemons.push(await new FakeOperatorDaemon().start());
  }
  context.after(() => Promise.all(daemons.map((daemon) => daemon.stop())));
  for (const daemon of daemons) {
    daemon.on(CURRENT, reply({ revision: 4, configuration: { site: "old" } }));
  }
  const first = daemons[0];
  if (first === undefined) throw new Error("The test setup has no daemon");
  return Object.assign(new TestSetup(daemons), { first });
}

function statusOf(...revisions: number[]): unknown {
  const daemons = revisions.map((revision, index) => ({
    daemonId: `d${index}`,
    state: index === 2 ? "leaving" : "live",
    revision,
  }));
  return { site: "tillbrook", revision: Math.max(...revisions), daemons };
}

test("validate reports every error with its path, and sets the exit code", async () => {
  const setup = new TestSetup([]);
  const valid = await setup.run("validate", ...FILES);
  expect([valid.exitCode, valid.printed]).toEqual([
    0,
    'Valid: site "tillbrook" with 5 accounts, 5 services and 3 pipelines',
  ]);
  setup.files.set("bad", '{"site": 1, "services": {"booking": {"id": ""}}}');
  const bad = await setup.run("validate", FILES[1] ?? "", "bad", "--json");
  expect(bad.exitCode).toEqual(RESULT_CODES.configuration_invalid.exitCode);
  const { errors } = JSON.parse(bad.printed);
  expect(errors.length > 5).toEqual(true);
  expect(errors[0].path).toEqual("site");
  setup.files.set("torn", '{"site":');
  expect((await setup.run("validate", "torn")).exitCode)
    .toEqual(RESULT_CODES.configuration_unreadable.exitCode);
});

test("an invalid command line is a usage error, help is not", async () => {
  const setup = new TestSetup([]);
  const usage = RESULT_CODES.usage.exitCode;
  expect((await setup.run("validate")).exitCode).toEqual(usage);
  expect((await setup.run("aply")).exitCode).toEqual(usage);
  expect((await setup.run("status")).exitCode).toEqual(usage);
  expect((await setup.run("status", "--daemon", "host:1")).exitCode)
    .toEqual(usage);
  setup.environment = {};
  const noKey = await setup.run("status", "--daemon", "127.0.0.1:1");
  expect(noKey.exitCode).toEqual(usage);
  expect((await setup.run("--help")).exitCode).toEqual(0);
});

test("each command sends its own request", async (context) => {
  const setup = await createTestSetup(context);
  const { first } = setup;
  const request = {
    requestId: "r",
    account: "a",
    pipeline: "p",
    state: "done",
  };
  const cases: [string[], string, unknown, RegExp][] = [
    [["status"], STATUS, statusOf(4, 3), /d1 +live +3/],
    [["accounts"], "GET /v1/operator/accounts", {
      accounts: [{ id: "a", share: 0.1, attainment: 0.98765 }],
    }, /a +0\.1 +- .* 0\.988/],
    [["endpoints"], "GET /v1/operator/endpoints", {
      endpoints: [{ endpointId: "e", state: "ejected", reason: "slow" }],
    }, /e +- +- +ejected +slow/],
    [["history", "--limit", "3"], `${CURRENT}/history?limit=3`, {
      revisions: [{ revision: 4, acceptedAt: 0, operator: "o" }],
    }, /4 +1970-01-01T00:00:00.000Z +o/],
    [["drain", "endpoint", "e/1"], "POST /v1/operator/drains", {}, /"e\/1"/],
    [
      ["undrain", "daemon", "d 1"],
      "DELETE /v1/operator/drains/daemon/d%201",
      {},
      /"d 1"/,
    ],
    [["request", "show", "r"], "GET /v1/operator/requests/r", {
      ...request,
      stages: [{ stageId: "encode", attempts: 2 }],
    }, /encode +- +2/],
    [["change", "show", "c"], `${CHANGES}c`, {
      state: "accepted",
      revision: 9,
    }, /revision 9/],
  ];
  for (const [commandLine, call, body, pattern] of cases) {
    first.on(call, reply(body));
    const run = await setup.run(...commandLine, ...setup.places);
    expect([run.exitCode, run.errors, first.calls.at(-1)])
      .toEqual([0, "", call]);
    expect(pattern.test(run.printed)).toEqual(true);
    const json = await setup.run(...commandLine, "--json", ...setup.places);
    expect(typeof JSON.parse(json.printed)).toEqual("object");
  }
  expect(first.bodies.find((body) => body !== undefined))
    .toEqual({ kind: "endpoint", id: "e/1" });
  expect([...first.keys]).toEqual(["Bearer from-env"]);
  setup.files.set("key", "from-file\n");
  await setup.run("status", "--key-file", "key", ...setup.places);
  await setup.run("status", "--key", "given", ...setup.places);
  expect([...first.keys].slice(1)).toEqual([
    "Bearer from-file",
    "Bearer given",
  ]);
});

test("the next daemon is tried if one is down, silent or not ready", async (context) => {
  const setup = await createTestSetup(context, 4);
  const [down, silent, unready, ready] = setup.daemons;
  const { places } = setup;
  await down?.stop();
  silent?.on(STATUS, () => setup.timer.expireExchanges());
  unready?.on(STATUS, refuse("no_configuration"));
  ready?.on(STATUS, reply(statusOf(4)));
  const run = await setup.run("status", ...places);
  expect([run.exitCode, run.errors]).toEqual([0, ""]);
  unready?.on(STATUS, refuse("operator_role"));
  expect((await setup.run("status", ...places)).exitCode)
    .toEqual(RESULT_CODES.operator_role.exitCode);
});

test("diff shows what an apply would change", async (context) => {
  const setup = await createTestSetup(context);
  const run = await setup.run("diff", ...FILES, ...setup.places);
  expect(run.exitCode).toEqual(0);
  expect(run.printed.split("\n").slice(0, 2)).toEqual([
    "Against revision 4:",
    '~ site: "old" -> "tillbrook"',
  ]);
  expect(setup.first.calls).toEqual([CURRENT]);
});

test("apply --wait ends when every live daemon reports the revision", async (context) => {
  const setup = await createTestSetup(context);
  const { first } = setup;
  first.on(APPLY, reply({ revision: 5 }));
  first.on(
    STATUS,
    reply(statusOf(5, 4)),
    breakOff,
    reply({ site: "s", revision: 5, daemons: [] }),
    reply(statusOf(5, 6, 1)),
  );
  const run = await setup.run("apply", ...FILES, "--wait", ...setup.places);
  expect([run.exitCode, run.errors, first.count(STATUS)]).toEqual([0, "", 4]);
  const submission = JSON.stringify(first.bodies[first.calls.indexOf(APPLY)]);
  expect(/"expectedRevision":4,"changeId":"[0-9a-f]{32}"}$/.test(submission))
    .toEqual(true);
  first.on(STATUS, reply(statusOf(5, 4)));
  const late = await setup.run(
    "apply",
    ...FILES,
    "--wait",
    ...setup.places,
  );
  expect(late.exitCode).toEqual(RESULT_CODES.apply_wait_expired.exitCode);
  expect(late.errors.includes("late: d1 at 4")).toEqual(true);
});

test("an apply whose answer is lost is recovered by its change id", async (context) => {
  // Guards against reporting a successful apply as failed. The daemon writes
  // the revision and dies before it answers; only another daemon has the
  // change, after a short delay. The failure: a lost answer is treated as a
  // refusal.
  const setup = await createTestSetup(context, 2);
  const [first, second] = setup.daemons;
  first?.on(APPLY, breakOff).on(CHANGES, breakOff);
  second?.on(
    CHANGES,
    reply({ state: "unknown" }),
    reply({
      state: "accepted",
      revision: 5,
    }),
  );
  const run = await setup.run("apply", ...FILES, ...setup.places, "--json");
  expect(run.exitCode).toEqual(0);
  expect(JSON.parse(run.printed).revision).toEqual(5);
  expect([first?.count(APPLY), second?.count(APPLY)]).toEqual([1, 0]);
  second?.on(CHANGES, reply({ state: "unknown" }));
  const lost = await setup.run("apply", ...FILES, ...setup.places);
  expect(lost.exitCode).toEqual(RESULT_CODES.apply_unconfirmed.exitCode);
  expect(lost.errors.includes("apply_unconfirmed")).toEqual(true);
});

test("refused applies keep their reason", async (context) => {
  const setup = await createTestSetup(context, 2);
  const [first, second] = setup.daemons;
  second?.on(APPLY, refuse("revision_conflict"));
  first?.on(APPLY, refuse("draining"));
  const conflict = await setup.run("apply", ...FILES, ...setup.places);
  expect(conflict.exitCode).toEqual(RESULT_CODES.revision_conflict.exitCode);
  second?.on(CHANGES, reply({ state: "accepted", revision: 5 }));
  const own = await setup.run("apply", ...FILES, ...setup.places);
  expect([own.exitCode, own.errors]).toEqual([0, ""]);
  const errors = [{ path: "site", message: "No such site" }];
  first?.on(APPLY, refuse("configuration_invalid", { errors }));
  const invalid = await setup.run("apply", ...FILES, ...setup.places);
  expect(invalid.errors.includes("site: No such site")).toEqual(true);
});

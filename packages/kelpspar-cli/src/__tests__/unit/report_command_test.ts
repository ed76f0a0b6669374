import type { TestContext } from "node:test";
import { mkdtemp, readFile, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { expect } from "earl";
import { RESULT_CODES, SeededRandom } from "kelpspar-shared";
import { runCli } from "../../mod.ts";
import { FakeOperatorDaemon, refuse, reply } from "./fake_operator_daemon.ts";
import { AutoAdvancingTimer } from "./auto_advancing_timer.ts";

const HOSTILE = "<script>alert('1')</script>&co";
const REPORTS = "GET /v1/operator/";

async function run(...commandLine: string[]): Promise<
  { readonly exitCode: number; readonly printed: string }
> {
  const printed: string[] = [];
  const print = (text: string): void => void printed.push(text);
  const exitCode = await runCli(commandLine, {
    output: { print, printError: print },
    timer: new AutoAdvancingTimer(),
    random: new SeededRandom(1),
    environment: { KELPSPAR_OPERATOR_KEY: "key" },
    readFile: (path) => readFile(path, "utf8"),
  });
  return { exitCode, printed: printed.join("\n") };
}

async function startDaemon(
  context: TestContext,
  factor: number,
): Promise<FakeOperatorDaemon> {
  const daemon = await new FakeOperatorDaemon().start();
  context.after(() => daemon.stop());
  const live = { daemonId: "d", state: "live", revision: factor };
  const tags = { account: HOSTILE, class: "plan" };
  const histogram = (name: string, mean: number, stage?: string): unknown => ({
    name,
    tags: stage === undefined ? tags : { ...tags, stage },
    count: factor,
    mean,
    p50: mean,
    p95: 2 * mean,
    p99: 3 * mean,
    maximum: 3 * mean,
  });
  const tally = { share: 0.5, completed: factor, failed: 0, refused: 1 };
  daemon.on(
    `${REPORTS}status`,
    reply({
      site: "prairie",
      revision: factor,
      daemons: [live, live, { ...live, state: "leaving" }],
    }),
  );
  daemon.on(
    `${REPORTS}accounts`,
    reply({
      accounts: [{ id: HOSTILE, ...tally }],
    }),
  );
  daemon.on(
    `${REPORTS}histograms`,
    reply({
      histograms: [
        histogram("attainment", 100 / factor),
        histogram("request_milliseconds", 10 * factor),
        histogram("queue_milliseconds", factor, "encode"),
        histogram("cost_runner_milliseconds", 5 * factor, "encode"),
        histogram("cost_tokens", 7, "encode"),
      ],
    }),
  );
  return daemon;
}

async function createFolder(context: TestContext): Promise<string> {
  const folder = await mkdtemp(join(tmpdir(), "kelpspar-report-"));
  context.after(() => rm(folder, { recursive: true }));
  return folder;
}

test("a report of several daemons, live and from its saved file", async (context) => {
  const [one, three, down] = await Promise.all(
    [1, 3, 5].map((factor) => startDaemon(context, factor)),
  );
  if (!one || !three || !down) throw new Error("A daemon is missing");
  down.on(`${REPORTS}accounts`, refuse("no_configuration"));
  const folder = await createFolder(context);
  const [saved, page] = [join(folder, "saved.json"), join(folder, "page.html")];
  // One daemon is given twice and must be counted once.
  const places = [one, three, one, down].flatMap(({ place }) => [
    "--daemon",
    place,
  ]);
  const live = await run("report", ...places, "--save", saved, "--json");
  expect(live.exitCode).toEqual(0);
  const report = JSON.parse(live.printed);
  expect([report.site, report.revision, report.liveDaemons])
    .toEqual(["prairie", 3, 2]);
  expect(report.daemons).toEqual([one.place, three.place]);
  expect(report.silentDaemons[0].daemon).toEqual(down.place);
  expect(report.accounts[0].attainment).toEqual(4 / 6);
  expect(report.costs).toEqual([{
    account: HOSTILE,
    class: "plan",
    stage: "encode",
    requests: 4,
    runnerMilliseconds: 50,
    runnerMillisecondsPerRequest: 12.5,
    tokens: 28,
    tokensPerRequest: 7,
  }]);

  const text = await run("report", "--records", saved, "--output", page);
  expect(text.exitCode).toEqual(0);
  const line = `${HOSTILE}  plan   4      25    30   60   90   90`;
  expect(text.printed.includes(line)).toEqual(true);
  expect(text.printed.includes("largest of 2 daemons")).toEqual(true);
  expect(text.printed.includes(`No figures from "${down.place}"`))
    .toEqual(true);
  const again = await run("report", "--records", saved, "--json");
  expect(again.printed).toEqual(live.printed);

  const html = await readFile(page, "utf8");
  expect(html.match(/<svg[\s>]/g)?.length).toEqual(4);
  expect(
    html.includes("&lt;script&gt;alert(&#39;1&#39;)&lt;/script&gt;&amp;co"),
  )
    .toEqual(true);
  const label = "&lt;script&gt;alert('1')&lt;/script&gt;&amp;co";
  expect(html.includes(`>${label} / plan / encode</text>`)).toEqual(true);
  expect(html.includes(`>${label}</text>`)).toEqual(true);
  expect(/<script|<link|<img|<iframe/i.test(html)).toEqual(false);
  expect(/(href|src)="|url\(/.test(html)).toEqual(false);
});

test("percentiles of one daemon are exact, and no answering daemon is an error", async (context) => {
  const daemon = await startDaemon(context, 2);
  const alone = await run("report", "--daemon", daemon.place);
  expect([alone.exitCode, alone.printed.includes("largest of")])
    .toEqual([0, false]);
  daemon.on(`${REPORTS}histograms`, reply({ histograms: [{ name: 1 }] }));
  expect((await run("report", "--daemon", daemon.place)).exitCode)
    .toEqual(RESULT_CODES.peer_unavailable.exitCode);
  const other = await startDaemon(context, 2);
  daemon.on(`${REPORTS}histograms`, refuse("operator_role"));
  const places = ["--daemon", other.place, "--daemon", daemon.place];
  expect((await run("report", ...places)).exitCode)
    .toEqual(RESULT_CODES.operator_role.exitCode);
});

test("invalid input is an error with a code and the file's path", async (context) => {
  const daemon = await startDaemon(context, 1);
  const folder = await createFolder(context);
  const saved = join(folder, "saved.json");
  await run("report", "--daemon", daemon.place, "--save", saved);
  const text = await readFile(saved, "utf8");
  const records = JSON.parse(text);
  records.daemons[0].histograms[1].count = -1;
  const cases: readonly [string, string, string][] = [
    ["torn", text.slice(0, -9), "malformed_request, code 1001"],
    [
      "empty",
      '{"version":1,"collectedAt":0,"daemons":[],"silentDaemons":[]}',
      "daemons: ",
    ],
    [
      "negative",
      JSON.stringify(records),
      "daemons.0.histograms.1.count: ",
    ],
    ["later", JSON.stringify({ ...JSON.parse(text), version: 2 }), "version: "],
  ];
  for (const [name, content, expected] of cases) {
    const path = join(folder, name);
    await writeFile(path, content);
    const { exitCode, printed } = await run("report", "--records", path);
    expect([
      exitCode,
      printed.includes(`"${path}"`),
      printed.includes(expected),
    ])
      .toEqual([RESULT_CODES.malformed_request.exitCode, true, true]);
  }
  const absent = join(folder, "absent", "file");
  const [whole] = JSON.parse(text).daemons;
  const foreign = { ...whole, status: { ...whole.status, site: "centro" } };
  await writeFile(
    join(folder, "two-sites"),
    JSON.stringify({ ...JSON.parse(text), daemons: [whole, foreign] }),
  );
  const usage: readonly string[][] = [
    ["--records", absent],
    ["--records", saved, "--output", absent],
    ["--daemon", daemon.place, "--save", absent],
    ["--records", saved, "--save", join(folder, "copy")],
    ["--records", saved, "--daemon", daemon.place],
    ["--records", join(folder, "two-sites")],
    [],
  ];
  for (const options of usage) {
    const { exitCode, printed } = await run("report", ...options);
    expect([exitCode, /\(usage, code 5005\)$/.test(printed)])
      .toEqual([RESULT_CODES.usage.exitCode, true]);
    expect(printed.includes(absent)).toEqual(options.includes(absent));
  }
});

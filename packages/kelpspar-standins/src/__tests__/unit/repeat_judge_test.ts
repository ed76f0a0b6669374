import type { WorstWindow } from "../../repeats/find_worst_window.ts";
import { SeededRandom } from "kelpspar-shared";
import { expect } from "earl";
import { after, before, test } from "node:test";
import { request as sendRequest } from "undici";
import { drawRequest } from "../../repeats/draw_request.ts";
import { findWorstWindow } from "../../repeats/find_worst_window.ts";
import { judgeServices } from "../../repeats/judge_services.ts";
import { REPEAT_SITUATIONS } from "../../repeats/repeat_situation.ts";
import { WireSite } from "../../wire/wire_site.ts";

const LIMITS = { ratio: 0.2, slack: 0, windowMilliseconds: 10_000 };
const SITUATION = REPEAT_SITUATIONS["chains-failing"];
const STAGE_RUN = JSON.stringify({
  entries: [{ id: "r1", stage: 0, piece: 0, key: "k" }],
});

let site: WireSite;

before(async () => {
  site = new WireSite({ stageServices: [{ name: "s", runners: 1, batch: 8 }] });
  await site.start();
});

after(() => site.stop());

function judge(
  arrivals: readonly string[],
  runs: Readonly<Record<string, number>>,
): WorstWindow {
  return findWorstWindow(LIMITS, {
    requests: [0],
    arrivals: arrivals.map((key, at) => ({ key, at })),
    runs: new Map(Object.entries(runs)),
  });
}

// Guards against stages that run anew for a resumed send without being counted.
test("calls of stages after the run of their request count as repeats", () => {
  expect(judge(["r1/0/0", "r1/1/0", "r2/0/0"], { r1: 0.5 }).repeats).toEqual(1);
  expect(judge(["r1/0/0", "r1/1/0", "r1/1/0"], { r1: 0.5 }).repeats).toEqual(2);
  expect(judge(["r1/0/0", "r1/1/0"], { r1: 9, r2: 0 }).repeats).toEqual(0);
});

// Guards against sends to an endpoint that was replaced that nobody counts.
test("sends that an endpoint answers with 421 are counted", async () => {
  const [address = ""] = [site.models[0]].flatMap((model) =>
    site.runnerRowsOf("model").filter(({ key }) => key === model?.id)
      .map(({ value }) => (value as { readonly address: string }).address)
  );
  const headers = { "x-attempt-id": "r1", "x-expect-instance": "former" };
  for (let send = 0; send < 2; send++) {
    expect(await post(`http://${address}/x`, { headers })).toEqual(421);
  }
  expect(await post(`http://${address}/health`, { headers: {} })).toEqual(421);
  const [row] = site.runnerRowsOf("s");
  const stage = (row?.value as { readonly address: string }).address;
  const path = `http://${stage}/-/stage-run`;
  for (let send = 0; send < 2; send++) {
    const options = { headers, body: STAGE_RUN };
    expect(await post(path, options)).toEqual(421);
  }
  const services = new Set(["model", "s"]);
  const judged = judgeServices(site, SITUATION, [{ at: 0, services }]);
  expect(
    judged.map(({ service, basis, worst }) => [service, basis, worst.repeats]),
  ).toEqual([["model", "requests", 1], ["s", "requests", 2], [
    "s",
    "pieces",
    2,
  ]]);
});

// Guards against requests that are counted for services that they don't need.
test("a request is counted for the services that it has pieces for", () => {
  const random = new SeededRandom(1);
  const situation = { ...SITUATION, site: "several_models", route: "mixed" };
  const drawn = Array.from(
    { length: 1_000 },
    () => drawRequest(situation as typeof SITUATION, random),
  );
  const drafts = drawn.filter(({ route }) => route === "draft");
  const withPieces = drafts.filter(({ pieces }) => (pieces[0] ?? 0) > 0);
  expect(drafts.length).toBeGreaterThan(250);
  expect(withPieces.length).toBeGreaterThan(drafts.length / 2);
  expect(withPieces.length).toBeLessThan(drafts.length);
  for (const { services, pieces } of drafts) {
    expect(services.has("first")).toEqual((pieces[0] ?? 0) > 0);
  }
});

async function post(
  url: string,
  { headers, body }: {
    readonly headers: Readonly<Record<string, string>>;
    readonly body?: string;
  },
): Promise<number> {
  const answer = await sendRequest(url, {
    method: "POST",
    headers,
    body: body ?? null,
  });
  await answer.body.dump();
  return answer.statusCode;
}

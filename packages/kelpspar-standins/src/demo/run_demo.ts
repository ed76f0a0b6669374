import type { Configuration } from "kelpspar-configuration";
import type { StageCost, TimerService } from "kelpspar-shared";
import type { PoolPlan } from "../site/site_plan.ts";
import type { DemoRequest } from "./demo_request.ts";
import type { DemoSite } from "./demo_site.ts";
import { KelpsparClient } from "kelpspar-client";
import { SystemRandom } from "kelpspar-shared";
import { applyFirstConfiguration } from "../site/apply_first_configuration.ts";
import { Site } from "../site/site.ts";
import { readExample } from "./read_example.ts";

const DAEMON_COUNT = 3;
const DEADLINE_MILLISECONDS = 8_000;

/** Options of `runDemo`. */
export interface RunDemoOptions {
  readonly timer: TimerService;
  readonly print: (line: string) => void;
}

/**
 * Starts a site in separate processes, sends a few requests and stops it
 * gracefully. Throws if a request fails, if the two answers under one key
 * differ, or if a process had to be killed.
 */
export async function runDemo(
  demo: DemoSite,
  options: RunDemoOptions,
): Promise<void> {
  const { timer, print } = options;
  const example = readExample(demo.overlay);
  const site = new Site({
    daemons: DAEMON_COUNT,
    availabilityZones: demo.availabilityZones,
    pools: createPools(demo, example.checked),
    configuration: example.written,
    seed: 1,
  }, { timer });
  try {
    await site.start();
    const processes = site.endpoints.length + site.daemons.length + 1;
    print(
      `Started ${processes} processes: ${DAEMON_COUNT} daemons, ${demo.engines} engines and other endpoints, the platform`,
    );
    const revision = await applyFirstConfiguration(site, {
      timer,
      administratorKey: demo.administratorKey,
      configuration: example.written,
    });
    print(`Revision ${revision} is in force at every daemon`);
    for (const request of demo.requests) await show(site, request, options);
  } catch (thrown) {
    await site.stop();
    throw thrown;
  }
  const killed = await site.stop();
  if (killed.length > 0) throw new Error(`Had to kill ${killed.join(", ")}`);
  print("Every process ended gracefully");
}

async function show(
  site: Site,
  request: DemoRequest,
  options: RunDemoOptions,
): Promise<void> {
  const { timer, print } = options;
  const client = new KelpsparClient({
    seeds: site.daemons.map((daemon) => `127.0.0.1:${daemon.port}`),
    callerKey: request.callerKey,
    timer,
    random: new SystemRandom(),
  });
  const { title: _title, callerKey: _callerKey, ...fields } = request;
  const submit = { ...fields, deadlineMilliseconds: DEADLINE_MILLISECONDS };
  print(`\n${request.title} (${request.pipeline})`);
  const startedAt = timer.now();
  const answer = await client.submitWhole(submit);
  print(`  ${answer.text}`);
  print(`  ${Math.round(timer.now() - startedAt)} ms; cost by stage:`);
  for (const cost of answer.cost) print(`    ${describeCost(cost)}`);
  if (request.idempotencyKey !== undefined) {
    const repeated = await client.submitWhole(submit);
    if (repeated.text !== answer.text) throw new Error("The answers differ");
    print("  sent again: the same answer");
  }
  await client.close();
}

function describeCost(cost: StageCost): string {
  const time = `${cost.runnerMilliseconds.toFixed(1)} runner-ms`;
  const tokens = cost.tokensIn + cost.tokensOut;
  return `${cost.stageId}: ${time}, ${tokens} tokens, ${cost.attempts} call(s)`;
}

function createPools(
  demo: DemoSite,
  configuration: Configuration,
): readonly PoolPlan[] {
  const models = Object.fromEntries(
    configuration.models.map((model) => [model.id, model.version]),
  );
  const adapters = configuration.models.flatMap((model) => model.adapters);
  return [
    {
      service: "engine",
      count: demo.engines,
      settings: { kind: "engine", engine: { models, adapters } },
    },
    ...Object.entries(demo.services).map(([service, count]) => ({
      service,
      count,
      settings: { kind: "plain" as const },
    })),
  ];
}

import type { TimerService } from "kelpspar-shared";
import { sha256 } from "kelpspar-shared";
import { applyFirstConfiguration } from "../site/apply_first_configuration.ts";
import { Site } from "../site/site.ts";

/** The only caller key of the site. */
export const CALLER_KEY = "overhead-caller-key";
/** The operator key of the site's administrator. */
export const ADMINISTRATOR_KEY = "overhead-administrator-key";
/** The plain stages in order; the generation stage follows them. */
export const PLAIN_STAGES = ["encoder", "retriever", "reranker"] as const;

const MODEL = "writer";
const UNRESTRICTIVE_LIMIT = 100_000;

/** Options of `startOverheadSite`. */
export interface OverheadSiteOptions {
  readonly timer: TimerService;
  readonly engines: number;
  readonly stepMilliseconds: number;
  readonly daemonNodeArguments?: readonly string[];
}

/** Starts a site of one daemon and endpoints with almost no service time. */
export async function startOverheadSite(
  options: OverheadSiteOptions,
): Promise<Site> {
  const configuration = createConfiguration();
  const site = new Site({
    daemons: 1,
    availabilityZones: ["a"],
    seed: 1,
    configuration,
    daemonNodeArguments: options.daemonNodeArguments ?? [],
    pools: [
      ...PLAIN_STAGES.map((service) => ({
        service,
        count: 1,
        settings: {
          kind: "plain" as const,
          plain: {
            concurrency: UNRESTRICTIVE_LIMIT,
            maximumWaiting: UNRESTRICTIVE_LIMIT,
            serviceMilliseconds: 0,
            spread: 0,
          },
        },
      })),
      {
        service: "engine",
        count: options.engines,
        settings: {
          kind: "engine",
          engine: {
            models: { [MODEL]: "1" },
            maximumBatch: UNRESTRICTIVE_LIMIT,
            maximumWaiting: UNRESTRICTIVE_LIMIT,
            stepMilliseconds: options.stepMilliseconds,
            stepPerCallMilliseconds: 0,
            prefillPerTokenMilliseconds: 0,
          },
        },
      },
    ],
  }, { timer: options.timer });
  await site.start();
  await applyFirstConfiguration(site, {
    timer: options.timer,
    administratorKey: ADMINISTRATOR_KEY,
    configuration,
  });
  return site;
}

function createConfiguration(): unknown {
  return {
    site: "overhead",
    accounts: [{
      id: "caller",
      share: 1,
      callerKeyHashes: [sha256(CALLER_KEY)],
      maximumQueuedRequests: UNRESTRICTIVE_LIMIT,
    }],
    operators: [{
      id: "administrator",
      role: "administrator",
      keyHash: sha256(ADMINISTRATOR_KEY),
    }],
    models: [{ id: MODEL, version: "1" }],
    services: [
      ...PLAIN_STAGES.map((id) => ({
        id,
        kind: "plain",
        progressTimeoutMilliseconds: 10_000,
      })),
      {
        id: "engine",
        kind: "engine",
        models: [MODEL],
        progressTimeoutMilliseconds: 10_000,
      },
    ],
    pipelines: [{
      id: "four-stages",
      stages: [
        ...PLAIN_STAGES.map((id) => ({ id, service: id })),
        { id: "generate", service: "engine", model: MODEL },
      ],
      accounts: [{ account: "caller" }],
      maximumDeadlineMilliseconds: 600_000,
    }],
  };
}

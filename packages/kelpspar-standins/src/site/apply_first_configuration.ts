import type { TimerService } from "kelpspar-shared";
import type { Site } from "./site.ts";
import { Client } from "undici";
import { BOOTSTRAP_KEY } from "./site.ts";

const POLL_INTERVAL_MILLISECONDS = 50;
const TIMEOUT_MILLISECONDS = 15_000;

/** A site's first configuration and the key used to poll its state. */
export interface FirstConfiguration {
  readonly timer: TimerService;
  /** Key of an administrator that the configuration itself defines. */
  readonly administratorKey: string;
  readonly configuration: unknown;
}

/**
 * Applies a site's first configuration and waits until it is in force at every
 * daemon and each daemon has capacity reports of all endpoints. Returns the
 * revision. Throws when the configuration is refused or not in force in time.
 */
export async function applyFirstConfiguration(
  site: Site,
  first: FirstConfiguration,
): Promise<number> {
  const [daemon] = site.daemons;
  if (daemon === undefined) throw new Error("The site has no daemon");
  const answer = await exchange(daemon.port, {
    method: "POST",
    path: "/v1/operator/configuration",
    key: BOOTSTRAP_KEY,
    body: {
      configuration: first.configuration,
      expectedRevision: 0,
      changeId: "first",
    },
  }) as { readonly revision?: number };
  const { revision } = answer;
  if (revision === undefined) {
    throw new Error(
      `The daemon refused the first configuration: ${JSON.stringify(answer)}`,
    );
  }
  const limit = first.timer.now() + TIMEOUT_MILLISECONDS;
  for (const { port } of site.daemons) {
    while (!await isInForce(port, { first, revision, site })) {
      if (first.timer.now() > limit) throw new Error("Configuration timed out");
      await new Promise<void>((resolve) => {
        first.timer.registerTimeout(resolve, POLL_INTERVAL_MILLISECONDS);
      });
    }
  }
  return revision;
}

async function isInForce(
  port: number,
  expected: {
    readonly first: FirstConfiguration;
    readonly revision: number;
    readonly site: Site;
  },
): Promise<boolean> {
  const get = (path: string): Promise<unknown> =>
    exchange(port, {
      method: "GET",
      path,
      key: expected.first.administratorKey,
    });
  const status = await get("/v1/operator/status") as {
    readonly revision?: number;
    readonly daemons?: readonly unknown[];
  };
  if (status.revision !== expected.revision) return false;
  if (status.daemons?.length !== expected.site.daemons.length) return false;
  const { endpoints } = await get("/v1/operator/endpoints") as {
    readonly endpoints: readonly { readonly concurrency: number }[];
  };
  return endpoints.length === expected.site.endpoints.length &&
    endpoints.every((endpoint) => endpoint.concurrency > 0);
}

async function exchange(
  port: number,
  request: {
    readonly method: "GET" | "POST";
    readonly path: string;
    readonly key: string;
    readonly body?: unknown;
  },
): Promise<unknown> {
  const client = new Client(`http://127.0.0.1:${port}`);
  try {
    const answer = await client.request({
      method: request.method,
      path: request.path,
      headers: { authorization: `Bearer ${request.key}` },
      body: request.body === undefined ? null : JSON.stringify(request.body),
    });
    return await answer.body.json();
  } finally {
    await client.close();
  }
}

import type { TimerService } from "kelpspar-shared";
import type { Site } from "./site.ts";
import { Client } from "undici";
import { BOOTSTRAP_KEY } from "./site.ts";

const POLL_MILLISECONDS = 50;
const LIMIT_MILLISECONDS = 15_000;

/** A site's first configuration and who applies it. */
export interface FirstConfiguration {
  readonly timer: TimerService;
  /** A key of an administrator in the configuration itself. */
  readonly administratorKey: string;
  readonly configuration: unknown;
}

/**
 * Applies a site's first configuration and waits until it is in force at every
 * daemon and each has heard of the others' endpoints. Returns the revision.
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
    throw new Error(`Not accepted: ${JSON.stringify(answer)}`);
  }
  const limit = first.timer.now() + LIMIT_MILLISECONDS;
  for (const { port } of site.daemons) {
    while (!await isInForce(port, { first, revision, site })) {
      if (first.timer.now() > limit) throw new Error("Not in force in time");
      await new Promise<void>((resolve) => {
        first.timer.registerTimeout(resolve, POLL_MILLISECONDS);
      });
    }
  }
  return revision;
}

async function isInForce(
  port: number,
  wanted: {
    readonly first: FirstConfiguration;
    readonly revision: number;
    readonly site: Site;
  },
): Promise<boolean> {
  const ask = (path: string): Promise<unknown> =>
    exchange(port, { method: "GET", path, key: wanted.first.administratorKey });
  const status = await ask("/v1/operator/status") as {
    readonly revision?: number;
    readonly daemons?: readonly unknown[];
  };
  if (status.revision !== wanted.revision) return false;
  if (status.daemons?.length !== wanted.site.daemons.length) return false;
  const { endpoints } = await ask("/v1/operator/endpoints") as {
    readonly endpoints: readonly { readonly concurrency: number }[];
  };
  return endpoints.length === wanted.site.endpoints.length &&
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

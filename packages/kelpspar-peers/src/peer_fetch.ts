import type { Agent } from "undici";
import { readBody } from "kelpspar-http";

/** The fields of a request that tRPC's links set. */
export interface PeerRequest {
  readonly method?: string | undefined;
  readonly body?: unknown;
  readonly headers?: unknown;
  readonly signal?: AbortSignal | null | undefined;
}

/** The fields of a response that tRPC's links read. */
export interface PeerAnswer {
  readonly ok: boolean;
  json(): Promise<unknown>;
}

/** The signature of `fetch` that tRPC's links accept. */
export type PeerFetch = (
  url: unknown,
  init?: PeerRequest,
) => Promise<PeerAnswer>;

const MINIMUM_SUCCESS_STATUS = 200;
const MINIMUM_REDIRECT_STATUS = 300;

/**
 * Creates a `fetch` that uses only the connections of an agent. It calls
 * `agent.request`, because undici's `fetch` implements the standard of browsers,
 * with streams and policies that calls between daemons don't need.
 */
export function createPeerFetch(agent: Agent): PeerFetch {
  return async (url, init = {}) => {
    const { origin, pathname, search } = new URL(String(url));
    const { statusCode, body } = await agent.request({
      origin,
      path: `${pathname}${search}`,
      method: init.method === "POST" ? "POST" : "GET",
      headers: init.headers as Record<string, string>,
      body: init.body === undefined ? null : String(init.body),
      signal: init.signal ?? null,
    });
    return {
      ok: statusCode >= MINIMUM_SUCCESS_STATUS &&
        statusCode < MINIMUM_REDIRECT_STATUS,
      json: async () => JSON.parse((await readBody(body)).toString("utf8")),
    };
  };
}

import type { Agent } from "undici";

/** What of a request tRPC's links set. */
export interface PeerRequest {
  readonly method?: string | undefined;
  readonly body?: unknown;
  readonly headers?: unknown;
  readonly signal?: AbortSignal | null | undefined;
}

/** What of an answer tRPC's links read. */
export interface PeerAnswer {
  readonly ok: boolean;
  json(): Promise<unknown>;
}

/** A `fetch` as tRPC's links take it. */
export type PeerFetch = (
  url: unknown,
  init?: PeerRequest,
) => Promise<PeerAnswer>;

const FIRST_SUCCESS = 200;
const FIRST_REDIRECT = 300;

/**
 * Creates a `fetch` that keeps to the connections of an agent. It calls the
 * agent itself: undici's own `fetch` follows the rules of browsers, with
 * streams and policies that calls between daemons don't need.
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
      ok: statusCode >= FIRST_SUCCESS && statusCode < FIRST_REDIRECT,
      json: () => body.json(),
    };
  };
}

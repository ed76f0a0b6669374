import type { Agent } from "undici";
import { fetch as undiciFetch } from "undici";

/** A `fetch` as tRPC's links take it. */
export type PeerFetch = (url: unknown, init?: object) => Promise<Response>;

/** Creates a `fetch` that keeps to the connections of an agent. */
export function createPeerFetch(agent: Agent): PeerFetch {
  return (url, init) =>
    undiciFetch(url as string, {
      ...init as Parameters<typeof undiciFetch>[1],
      dispatcher: agent,
    }) as unknown as Promise<Response>;
}

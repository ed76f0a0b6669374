import type { RequestListener, ServerResponse } from "node:http";
import type { PeerHandlers } from "./peer_router.ts";
import { CallerBudget } from "kelpspar-http";
import { createRouterListener } from "kelpspar-peers";
import { SystemTimer } from "kelpspar-shared";
import { peerRouter } from "./peer_router.ts";

/** HTTP path of the tRPC router for other daemons. */
export const PEER_PATH = "/peer";

const MAXIMUM_BODY_BYTES = 4 * 1024 * 1024;

/** Creates the listener that answers other daemons under `PEER_PATH`. */
export function createPeerListener(
  handlers: PeerHandlers,
  budget = new CallerBudget({ timer: new SystemTimer() }),
): RequestListener {
  return createRouterListener({
    router: peerRouter,
    path: PEER_PATH,
    maximumBodyBytes: MAXIMUM_BODY_BYTES,
    budget,
    createContext: (_, response) => ({
      handlers,
      createDisconnectSignal: () => createDisconnectSignal(response),
    }),
  });
}

/**
 * Returns a signal that aborts if the caller disconnects before the response.
 */
function createDisconnectSignal(response: ServerResponse): AbortSignal {
  const disconnected = new AbortController();
  if (response.destroyed) disconnected.abort();
  response.once("close", () => {
    if (!response.writableFinished) disconnected.abort();
  });
  return disconnected.signal;
}

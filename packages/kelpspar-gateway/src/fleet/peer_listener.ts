import type { RequestListener, ServerResponse } from "node:http";
import type { PeerHandlers } from "./peer_router.ts";
import { createRouterListener } from "kelpspar-peers";
import { peerRouter } from "./peer_router.ts";

/** The path under which a daemon answers its peers. */
export const PEER_PATH = "/peer";

/** Largest input of a peer's call, bytes. */
const MAXIMUM_BODY_BYTES = 4 * 1024 * 1024;

/** Creates the listener that answers other daemons under `PEER_PATH`. */
export function createPeerListener(handlers: PeerHandlers): RequestListener {
  return createRouterListener({
    router: peerRouter,
    path: PEER_PATH,
    maximumBodyBytes: MAXIMUM_BODY_BYTES,
    createContext: (_, response) => ({
      handlers,
      gone: () => goneSignal(response),
    }),
  });
}

/** Aborted when the asker closed its connection before its answer. */
function goneSignal(response: ServerResponse): AbortSignal {
  const gone = new AbortController();
  if (response.destroyed) gone.abort();
  response.once("close", () => {
    if (!response.writableFinished) gone.abort();
  });
  return gone.signal;
}

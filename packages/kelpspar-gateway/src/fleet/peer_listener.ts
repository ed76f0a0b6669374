import type { RequestListener } from "node:http";
import type { PeerHandlers } from "./peer_router.ts";
import { createHTTPHandler } from "@trpc/server/adapters/standalone";
import { peerRouter } from "./peer_router.ts";

/** The path under which a daemon answers its peers. */
export const PEER_PATH = "/peer";

/** Largest input of a peer's call, bytes. */
const MAXIMUM_BODY_BYTES = 4 * 1024 * 1024;

/** Creates the listener that answers other daemons under `PEER_PATH`. */
export function createPeerListener(handlers: PeerHandlers): RequestListener {
  return createHTTPHandler({
    router: peerRouter,
    basePath: `${PEER_PATH}/`,
    maxBodySize: MAXIMUM_BODY_BYTES,
    createContext: ({ res }) => {
      const gone = new AbortController();
      res.once("close", () => gone.abort());
      return { handlers, gone: gone.signal };
    },
  });
}

import type { RequestListener } from "node:http";
import type { PeerHandlers } from "./peer_router.ts";
import { createHTTPHandler } from "@trpc/server/adapters/standalone";
import { PEER_PATH, PEER_SECRET_HEADER } from "./peer_protocol.ts";
import { peerRouter } from "./peer_router.ts";

const MAXIMUM_BODY_BYTES = 1024 * 1024;

/** Creates the listener for calls of other daemons under `PEER_PATH`. */
export function createPeerListener(
  handlers: PeerHandlers,
  options: { readonly secret: string },
): RequestListener {
  return createHTTPHandler({
    router: peerRouter,
    basePath: `${PEER_PATH}/`,
    maxBodySize: MAXIMUM_BODY_BYTES,
    createContext: ({ req }) => {
      const header = req.headers[PEER_SECRET_HEADER];
      const presentedSecret = typeof header === "string" ? header : "";
      return {
        presentedSecret,
        secret: options.secret,
        handlers,
      };
    },
  });
}

import type { RequestListener, Server } from "node:http";
import { createServer } from "node:http";

/** Times of a server; milliseconds. */
export interface ServerTimes {
  /** Until a request's head has arrived; also counts for new connections. */
  readonly headMilliseconds?: number;
  /** Until a whole request has arrived; its answer may take any time. */
  readonly requestMilliseconds?: number;
  /** Until an idle connection is closed. */
  readonly idleMilliseconds?: number;
  /** How often Node.js looks for late requests. */
  readonly checkMilliseconds?: number;
}

/** Creates a server that closes connections whose requests don't arrive. */
export function createTimedServer(
  listener: RequestListener,
  times: ServerTimes = {},
): Server {
  const {
    headMilliseconds = 5_000,
    requestMilliseconds = 10_000,
    idleMilliseconds = 5_000,
    checkMilliseconds = 1_000,
  } = times;
  return createServer({
    headersTimeout: headMilliseconds,
    requestTimeout: requestMilliseconds,
    keepAliveTimeout: idleMilliseconds,
    connectionsCheckingInterval: checkMilliseconds,
  }, listener);
}

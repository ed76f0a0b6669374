import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { OpenExchanges } from "./open_exchanges.ts";
import type { CallerLimits } from "../configuration/serving_configuration.ts";
import type { RequestReply } from "../requests/request_reply.ts";
import type { ServingRequest } from "../requests/serving_request.ts";
import { receiveBody } from "kelpspar-http";
import { KelpsparError } from "kelpspar-shared";
import { createServer } from "node:http";
import { Server as NetServer } from "node:net";
import { describeRefusal } from "./describe_refusal.ts";
import { discardBody } from "./discard_body.ts";
import { HttpReply } from "./http_reply.ts";
import { listen } from "./listen.ts";

/** Limits until a configuration sets others. */
const DEFAULT_LIMITS: CallerLimits = {
  headerBytes: 16_384,
  bodyBytes: 4 * 1024 * 1024,
  headerTimeoutMilliseconds: 5_000,
  idleTimeoutMilliseconds: 60_000,
};
/** How often Node checks for callers whose request head is late, ms. */
const CHECK_INTERVAL_MILLISECONDS = 1_000;
/**
 * Node's own limit on the request head, bytes. Above any configured limit, which
 * the daemon enforces itself.
 */
const NODE_MAXIMUM_HEADER_BYTES = 128 * 1024;
/** Idle connections stay open this much longer than callers reuse them, ms. */
const KEEP_ALIVE_MARGIN_MILLISECONDS = 1_000;

/** Decodes a caller's request. Throws `KelpsparError` for one it can't read. */
export type RequestDecoder = (
  message: IncomingMessage,
  body: Uint8Array,
) => ServingRequest;

/** Options of `FrontServer`. */
export interface FrontServerOptions {
  readonly decode: RequestDecoder;
  /** Whether each connection is closed after its next answer. */
  readonly isLeaving: () => boolean;
  readonly exchanges: OpenExchanges;
  readonly serve: (
    request: ServingRequest,
    reply: RequestReply,
  ) => Promise<void>;
}

/** Accepts callers' requests over HTTP. */
export class FrontServer {
  readonly #options: FrontServerOptions;
  readonly #server: Server;
  #limits = DEFAULT_LIMITS;

  constructor(options: FrontServerOptions) {
    this.#options = options;
    this.#server = createServer({
      maxHeaderSize: NODE_MAXIMUM_HEADER_BYTES,
      connectionsCheckingInterval: CHECK_INTERVAL_MILLISECONDS,
      keepAliveTimeout: DEFAULT_LIMITS.idleTimeoutMilliseconds +
        KEEP_ALIVE_MARGIN_MILLISECONDS,
      requestTimeout: 0,
    });
    this.#server.on("request", (message, response) => {
      this.#answer(message, response);
    });
    // Without this a caller that sends `Expect: 100-continue` waits forever.
    this.#server.on("checkContinue", (message, response) => {
      response.writeContinue();
      this.#answer(message, response);
    });
  }

  /** Accepts callers at `address:port`. */
  listen(address: string): Promise<void> {
    return listen(this.#server, address);
  }

  set limits(limits: CallerLimits) {
    this.#limits = limits;
    this.#server.headersTimeout = limits.headerTimeoutMilliseconds;
    this.#server.keepAliveTimeout = limits.idleTimeoutMilliseconds +
      KEEP_ALIVE_MARGIN_MILLISECONDS;
  }

  /** Stops accepting connections; open ones stay open. */
  stopListening(): void {
    // The method of HTTP servers also destroys connections whose last answer
    // was ended and isn't flushed yet.
    NetServer.prototype.close.call(this.#server);
  }

  /** Closes idle connections; to be called while no exchange is open. */
  closeIdleConnections(): void {
    this.#server.closeIdleConnections();
  }

  /** An error fails the request that causes it, not those of other callers. */
  #answer(message: IncomingMessage, response: ServerResponse): void {
    this.#handle(message, response).catch(() => response.destroy());
  }

  async #handle(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    this.#options.exchanges.track(message, response);
    const reply = new HttpReply(
      response,
      // Closing before the whole request has arrived would reset the connection.
      () => this.#options.isLeaving() && message.complete,
    );
    const headBytes = message.rawHeaders.reduce(
      (sum, text) => sum + text.length + 2,
      0,
    );
    if (headBytes > this.#limits.headerBytes) {
      reply.refuse({ status: 431, message: "request head too large" });
      return;
    }
    const body = await receiveBody(message, {
      maximumBytes: this.#limits.bodyBytes,
    });
    if (body === "too_large") {
      reply.refuse({ status: 413, message: "request body too large" });
      discardBody(message);
      return;
    }
    if (body === "cut") return;
    let request: ServingRequest;
    try {
      request = this.#options.decode(message, body);
    } catch (error) {
      if (!(error instanceof KelpsparError)) throw error;
      reply.refuse(describeRefusal(error));
      return;
    }
    await this.#options.serve(request, reply);
  }
}

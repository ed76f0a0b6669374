import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { BodyFailure } from "kelpspar-http";
import type { ConnectionShares } from "./connections/connection_shares.ts";
import type { OpenExchanges } from "./open_exchanges.ts";
import type { CallerLimits } from "../configuration/serving_configuration.ts";
import type { DaemonAnswer, RequestReply } from "../requests/request_reply.ts";
import type { ServingRequest } from "../requests/serving_request.ts";
import { CallerBudget, receiveBody } from "kelpspar-http";
import { KelpsparError, SystemTimer } from "kelpspar-shared";
import { createServer } from "node:http";
import { Server as NetServer } from "node:net";
import { closeAfterRefusal } from "./close_after_refusal.ts";
import { describeRefusal } from "./describe_refusal.ts";
import { discardBody } from "./discard_body.ts";
import { HttpReply } from "./http_reply.ts";
import { listen } from "./listen.ts";
import { ReadGates } from "./read_gates.ts";
import { ReadTurns } from "./read_turns.ts";
import { RequestQueue } from "./request_queue.ts";

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
/** Until bodies that fill the memory have arrived or were given up. */
const NO_MEMORY_RETRY_MILLISECONDS = 1_000;
/** Answers to requests whose body was not received. */
const BODY_REFUSALS: Readonly<
  Record<Exclude<BodyFailure, "cut">, DaemonAnswer>
> = {
  too_large: { status: 413, message: "request body too large" },
  too_slow: { status: 408, message: "request body too slow" },
  no_memory: {
    status: 503,
    retryAfterMilliseconds: NO_MEMORY_RETRY_MILLISECONDS,
    message: "no memory for the request body",
  },
};

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
  /** Bounds what callers make the process hold; default a budget of its own. */
  readonly budget?: CallerBudget;
  /** Without it connections aren't limited. */
  readonly connectionShares?: ConnectionShares;
  readonly serve: (
    request: ServingRequest,
    reply: RequestReply,
  ) => Promise<void>;
}

/** Accepts callers' requests over HTTP. */
export class FrontServer {
  readonly #options: FrontServerOptions;
  readonly #budget: CallerBudget;
  readonly #server: Server;
  readonly #queue: RequestQueue;
  #limits = DEFAULT_LIMITS;

  constructor(options: FrontServerOptions) {
    this.#options = options;
    this.#budget = options.budget ??
      new CallerBudget({ timer: new SystemTimer() });
    const { connectionShares } = options;
    const gates = new ReadGates();
    this.#queue = new RequestQueue({
      gates,
      onClosed: () => connectionShares?.noteClosed("front", "pipelined"),
    });
    this.#server = createServer({
      IncomingMessage: new ReadTurns({ gates }).createMessageClass(),
      maxHeaderSize: NODE_MAXIMUM_HEADER_BYTES,
      connectionsCheckingInterval: CHECK_INTERVAL_MILLISECONDS,
      keepAliveTimeout: DEFAULT_LIMITS.idleTimeoutMilliseconds +
        KEEP_ALIVE_MARGIN_MILLISECONDS,
      requestTimeout: 0,
    });
    this.#server.on("request", (message, response) => {
      this.#enqueue(message, response, () => this.#answer(message, response));
    });
    // Without this a caller that sends `Expect: 100-continue` waits forever.
    this.#server.on("checkContinue", (message, response) => {
      this.#enqueue(
        message,
        response,
        () => this.#answer(message, response, () => response.writeContinue()),
      );
    });
    connectionShares?.limit("front", this.#server);
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

  #enqueue(
    message: IncomingMessage,
    response: ServerResponse,
    serve: () => void,
  ): void {
    this.#options.exchanges.track(message, response);
    this.#queue.add({ socket: message.socket, response, serve });
  }

  /** An error fails the request that causes it, not those of other callers. */
  #answer(
    message: IncomingMessage,
    response: ServerResponse,
    sendContinue?: () => void,
  ): void {
    this.#handle(message, response, sendContinue)
      .catch(() => response.destroy());
  }

  async #handle(
    message: IncomingMessage,
    response: ServerResponse,
    sendContinue?: () => void,
  ): Promise<void> {
    const reply = new HttpReply(response, {
      // Closing before the whole request has arrived would reset the connection.
      mustClose: () => this.#options.isLeaving() && message.complete,
      budget: this.#budget,
    });
    const headBytes = message.rawHeaders.reduce(
      (sum, text) => sum + text.length + 2,
      0,
    );
    if (headBytes > this.#limits.headerBytes) {
      reply.refuse({ status: 431, message: "request head too large" });
      void discardBody(message);
      return;
    }
    const body = await receiveBody(message, {
      maximumBytes: this.#limits.bodyBytes,
      budget: this.#budget,
      onAdmitted: sendContinue,
    });
    if (body === "cut") return;
    if (typeof body === "string") {
      reply.refuse(BODY_REFUSALS[body]);
      // A caller that waits for the continue may send another request instead
      // of the body, which would be taken for it.
      const isReadOn = body === "too_large" && sendContinue === undefined;
      if (isReadOn) void discardBody(message);
      else closeAfterRefusal(message, response);
      return;
    }
    try {
      const request = this.#decode(message, body.bytes);
      if (request instanceof KelpsparError) {
        reply.refuse(describeRefusal(request));
      } else await this.#options.serve(request, reply);
    } finally {
      body.release();
    }
  }

  #decode(
    message: IncomingMessage,
    body: Uint8Array,
  ): ServingRequest | KelpsparError {
    try {
      return this.#options.decode(message, body);
    } catch (error) {
      if (error instanceof KelpsparError) return error;
      throw error;
    }
  }
}

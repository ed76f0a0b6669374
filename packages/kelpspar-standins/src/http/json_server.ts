import type { JsonReply } from "./json_reply.ts";
import type { JsonRoute } from "./json_route.ts";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { createServer } from "node:http";
import { answer } from "./json_reply.ts";
import { matchRoute } from "./json_route.ts";
import { BodyError, readJsonBody } from "./read_json_body.ts";

const STATUS_BAD_REQUEST = 400;
const STATUS_NOT_FOUND = 404;
const STATUS_INTERNAL_ERROR = 500;

/**
 * A small HTTP server that responds with JSON according to a routing table. It
 * can silence its open connections permanently while new ones work, as a
 * middlebox does that has lost their state.
 */
export class JsonServer {
  readonly #routes: readonly JsonRoute[];
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  readonly #responses = new Set<ServerResponse>();
  readonly #silent = new WeakSet<Socket>();

  constructor(routes: readonly JsonRoute[]) {
    this.#routes = routes;
    this.#server = createServer({ requestTimeout: 0 }, (request, response) => {
      void this.#handle(request, response);
    });
    this.#server.keepAliveTimeout = 0;
    this.#server.on("connection", (socket) => this.#track(socket));
  }

  /** Listens on `address`; resolves to the port. Throws listen errors. */
  listen(address: string, port: number): Promise<number> {
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen({ port, host: address, backlog: 1_024 }, () => {
        this.#server.off("error", reject);
        resolve((this.#server.address() as AddressInfo).port);
      });
    });
  }

  /** Silences all connections that are open now, except `except`. */
  silence(except?: Socket | null): void {
    for (const socket of this.#sockets) {
      if (socket !== except) this.#silent.add(socket);
    }
  }

  /** Whether the connection was silenced: nothing is sent or received on it. */
  isSilent(socket: Socket): boolean {
    return this.#silent.has(socket);
  }

  /** Resolves when all pending responses on working connections ended. */
  async finishResponses(): Promise<void> {
    const open = [...this.#responses].filter(({ socket }) =>
      socket !== null && !this.#silent.has(socket)
    );
    await Promise.all(
      open.map((response) =>
        new Promise<void>((resolve) => response.once("close", resolve))
      ),
    );
  }

  /** Stops listening and drops all connections. */
  close(): Promise<void> {
    const closed = new Promise<void>((resolve) => {
      this.#server.close(() => resolve());
    });
    for (const socket of this.#sockets) socket.destroy();
    return closed;
  }

  #track(socket: Socket): void {
    this.#sockets.add(socket);
    socket.setNoDelay(true);
    socket.on("error", () => socket.destroy());
    socket.on("close", () => this.#sockets.delete(socket));
  }

  async #handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const socket = request.socket;
    this.#responses.add(response);
    response.once("close", () => this.#responses.delete(response));
    const reply = await this.#reply(request, response);
    if (this.#silent.has(socket)) return;
    if (reply.kind === "reset") socket.destroy();
    if (reply.kind === "answer") writeAnswer(response, reply);
  }

  async #reply(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<JsonReply> {
    try {
      return await this.#dispatch(request, response);
    } catch (error) {
      const message = error instanceof Error ? error.message : String(error);
      const status = error instanceof BodyError
        ? STATUS_BAD_REQUEST
        : STATUS_INTERNAL_ERROR;
      return answer({ error: message }, status);
    }
  }

  async #dispatch(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<JsonReply> {
    const url = new URL(request.url ?? "/", "http://stand-in");
    const body = await readJsonBody(request);
    if (this.#silent.has(request.socket)) return { kind: "none" };
    const match = matchRoute(this.#routes, {
      method: request.method ?? "GET",
      path: url.pathname,
    });
    if (match === undefined) {
      return answer({ error: "No such path" }, STATUS_NOT_FOUND);
    }
    const { parameters } = match;
    const query = url.searchParams;
    return await match.route.handler({ parameters, query, body, response });
  }
}

function writeAnswer(
  response: ServerResponse,
  reply: JsonReply & { readonly kind: "answer" },
): void {
  response.writeHead(reply.status, { "content-type": "application/json" });
  response.end(JSON.stringify(reply.body));
}

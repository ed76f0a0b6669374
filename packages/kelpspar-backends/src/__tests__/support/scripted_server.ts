import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { createServer } from "node:http";

/** A request that a scripted server received, with its whole body. */
export interface SeenRequest {
  readonly method: string;
  readonly path: string;
  readonly body: string;
  readonly socket: Socket;
}

/** Answers one request; one that does nothing is silent. */
export type ScriptedAnswer = (
  response: ServerResponse,
  request: SeenRequest,
) => void;

const MOST_TURNS = 20_000;

/** A server on a free port of 127.0.0.1 whose answers a test scripts. */
export class ScriptedServer {
  readonly seen: SeenRequest[] = [];
  connections = 0;
  answer: ScriptedAnswer = json({});
  readonly #server: Server;

  constructor() {
    this.#server = createServer((request, response) => {
      void this.#take(request, response);
    });
    this.#server.on("connection", () => this.connections++);
  }

  static async start(): Promise<ScriptedServer> {
    const server = new ScriptedServer();
    await new Promise<void>((resolve) =>
      server.#server.listen(0, "127.0.0.1", resolve)
    );
    return server;
  }

  get port(): number {
    return (this.#server.address() as AddressInfo).port;
  }

  get origin(): string {
    return `http://127.0.0.1:${this.port}`;
  }

  /** Resolves when `count` requests came in all. */
  async untilSeen(count: number): Promise<void> {
    for (let turn = 0; turn < MOST_TURNS; turn++) {
      if (this.seen.length >= count) return;
      await new Promise<void>((resolve) => setImmediate(resolve));
    }
    throw new Error(`Only ${this.seen.length} of ${count} requests came`);
  }

  async close(): Promise<void> {
    const closed = new Promise((resolve) => this.#server.close(resolve));
    this.#server.closeAllConnections();
    await closed;
  }

  async #take(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    let body = "";
    for await (const piece of request) body += String(piece);
    const { method = "", url: path = "", socket } = request;
    const seen = { method, path, body, socket };
    this.seen.push(seen);
    this.answer(response, seen);
  }
}

/** Answers JSON. */
export function json(body: unknown, status = 200): ScriptedAnswer {
  return (response) => {
    response.writeHead(status, { "content-type": "application/json" });
    response.end(JSON.stringify(body));
  };
}

/** Drops the connection of a request that it has read whole. */
export const reset: ScriptedAnswer = (_response, { socket }) => {
  socket.resetAndDestroy();
};

/** Never answers. */
export const silence: ScriptedAnswer = () => {};

/** A port on which nobody listens. */
export async function findClosedPort(): Promise<number> {
  const server = await ScriptedServer.start();
  const { port } = server;
  await server.close();
  return port;
}

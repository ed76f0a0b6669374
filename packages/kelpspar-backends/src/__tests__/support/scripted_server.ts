import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { createServer } from "node:http";

/** A request that a scripted server received, with its complete body. */
export interface ReceivedRequest {
  readonly method: string;
  readonly path: string;
  readonly body: string;
  readonly socket: Socket;
}

/** Answers one request, or leaves it unanswered by doing nothing. */
export type ScriptedAnswer = (
  response: ServerResponse,
  request: ReceivedRequest,
) => void;

const MAXIMUM_EVENT_LOOP_TURNS = 20_000;

/** A server on a free port of 127.0.0.1 with answers set by the test. */
export class ScriptedServer {
  readonly received: ReceivedRequest[] = [];
  connections = 0;
  answer: ScriptedAnswer = json({});
  readonly #server: Server;

  constructor() {
    this.#server = createServer((request, response) => {
      void this.#handle(request, response);
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

  /** Resolves when `count` requests have arrived in total. */
  async waitForRequests(count: number): Promise<void> {
    for (let turn = 0; turn < MAXIMUM_EVENT_LOOP_TURNS; turn++) {
      if (this.received.length >= count) return;
      await new Promise<void>((resolve) => setImmediate(resolve));
    }
    throw new Error(
      `Only ${this.received.length} of ${count} requests arrived`,
    );
  }

  async close(): Promise<void> {
    const closed = new Promise((resolve) => this.#server.close(resolve));
    this.#server.closeAllConnections();
    await closed;
  }

  async #handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    let body = "";
    for await (const piece of request) body += String(piece);
    const { method = "", url: path = "", socket } = request;
    const received = { method, path, body, socket };
    this.received.push(received);
    this.answer(response, received);
  }
}

/** Answers with a JSON body. */
export function json(body: unknown, status = 200): ScriptedAnswer {
  return (response) => {
    response.writeHead(status, { "content-type": "application/json" });
    response.end(JSON.stringify(body));
  };
}

/** Resets the connection after the complete request was read. */
export const reset: ScriptedAnswer = (_response, { socket }) => {
  socket.resetAndDestroy();
};

/** Leaves the request unanswered. */
export const neverAnswer: ScriptedAnswer = () => {};

/** Returns a port without a listener. */
export async function findClosedPort(): Promise<number> {
  const server = await ScriptedServer.start();
  const { port } = server;
  await server.close();
  return port;
}

import type { Server, Socket } from "node:net";
import type { EndlessBytes } from "./endless_bytes.ts";
import { subscribe, unsubscribe } from "node:diagnostics_channel";
import { createServer } from "node:net";
import { sendEndlessBytes } from "./endless_bytes.ts";
import { listenOnLoopback } from "./listen_on_loopback.ts";

/** What one call of a client took. */
export interface EndlessCall {
  /** Of this process, both sides together. */
  readonly processorMilliseconds: number;
  /** The most bytes that the client read from one connection. */
  readonly bytesRead: number;
  /** True if the client closed all its connections. */
  readonly isClosed: boolean;
}

const MICROSECONDS_PER_MILLISECOND = 1_000;
const CLIENT_SOCKETS = "net.client.socket";

/**
 * A server that answers everything with bytes that don't end. It observes the
 * connections of clients in its own process.
 */
export class EndlessServer {
  address = "";
  #bytes: EndlessBytes = { start: "", repeated: "" };
  #clientSockets: Socket[] = [];
  readonly #server: Server = createServer((socket) => {
    socket.on("error", () => {});
    socket.once("data", () => sendEndlessBytes(socket, this.#bytes));
  });
  readonly #onSocket = (message: unknown): void => {
    this.#clientSockets.push((message as { readonly socket: Socket }).socket);
  };

  async start(): Promise<void> {
    this.address = await listenOnLoopback(this.#server);
    subscribe(CLIENT_SOCKETS, this.#onSocket);
  }

  stop(): void {
    unsubscribe(CLIENT_SOCKETS, this.#onSocket);
    this.#server.close();
  }

  /** Answers one call with these bytes and measures it. */
  async measure(
    bytes: EndlessBytes,
    call: (address: string) => Promise<unknown>,
  ): Promise<EndlessCall> {
    this.#bytes = bytes;
    this.#clientSockets = [];
    const startedAt = process.cpuUsage();
    await call(this.address);
    const { user, system } = process.cpuUsage(startedAt);
    const sockets = this.#clientSockets;
    return {
      processorMilliseconds: (user + system) / MICROSECONDS_PER_MILLISECOND,
      bytesRead: Math.max(...sockets.map((socket) => socket.bytesRead)),
      isClosed: sockets.every((socket) => socket.destroyed),
    };
  }
}

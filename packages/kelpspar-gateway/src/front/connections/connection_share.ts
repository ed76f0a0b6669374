import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { CallerConnection } from "./caller_connection.ts";
import { chooseDisplaced } from "./choose_displaced.ts";

/** Why a listener closed a connection to stay within its share. */
export type ShareClosing =
  /** An idle connection gave way to a new one. */
  | "displaced"
  /** No connection was idle, so the new one was closed. */
  | "refused";

/** Options of `ConnectionShare`. */
export interface ConnectionShareOptions {
  readonly server: Server;
  /** Connections that may be open at the same time. */
  readonly maximumConnections: number;
  readonly onClosed?: (closing: ShareClosing) => void;
}

/**
 * Keeps the open connections of a server within a number. Callers who send
 * nothing can't keep others out, since they give way to new connections.
 */
export class ConnectionShare {
  readonly #maximumConnections: number;
  readonly #onClosed: (closing: ShareClosing) => void;
  /** In the order in which they became idle. */
  readonly #connections = new Map<Socket, CallerConnection>();
  readonly #countsByAddress = new Map<string, number>();

  constructor(options: ConnectionShareOptions) {
    const { server, maximumConnections, onClosed } = options;
    this.#maximumConnections = maximumConnections;
    this.#onClosed = onClosed ?? ((): void => {});
    const onRequest = (
      message: IncomingMessage,
      response: ServerResponse,
    ): void => this.#begin(message, response);
    server.on("connection", (socket: Socket) => this.#accept(socket));
    server.prependListener("request", onRequest);
    // A listener of its own would keep Node.js from telling callers to continue.
    if (server.listenerCount("checkContinue") > 0) {
      server.prependListener("checkContinue", onRequest);
    }
  }

  /** Number of open connections. */
  get size(): number {
    return this.#connections.size;
  }

  #accept(socket: Socket): void {
    if (this.size >= this.#maximumConnections && !this.#makeRoom()) {
      this.#onClosed("refused");
      socket.destroy();
      return;
    }
    const remoteAddress = socket.remoteAddress ?? "";
    this.#connections.set(socket, {
      socket,
      remoteAddress,
      openRequests: 0,
      latest: undefined,
      hasSentRequest: false,
    });
    const count = this.#countOf(remoteAddress) + 1;
    this.#countsByAddress.set(remoteAddress, count);
    socket.once("close", () => this.#forget(socket));
  }

  #makeRoom(): boolean {
    const displaced = chooseDisplaced(
      this.#connections.values(),
      (address) => this.#countOf(address),
    );
    if (displaced === undefined) return false;
    this.#forget(displaced.socket);
    displaced.socket.destroy();
    this.#onClosed("displaced");
    return true;
  }

  #begin(message: IncomingMessage, response: ServerResponse): void {
    const connection = this.#connections.get(message.socket);
    if (connection === undefined) return;
    connection.openRequests++;
    connection.latest = message;
    response.once("close", () => this.#finish(connection, message));
  }

  #finish(connection: CallerConnection, message: IncomingMessage): void {
    connection.openRequests--;
    if (message.complete) {
      connection.hasSentRequest = true;
      if (connection.latest === message) connection.latest = undefined;
    }
    const { socket } = connection;
    if (!this.#connections.delete(socket)) return;
    this.#connections.set(socket, connection);
  }

  #forget(socket: Socket): void {
    const connection = this.#connections.get(socket);
    if (connection === undefined) return;
    this.#connections.delete(socket);
    const { remoteAddress } = connection;
    const count = this.#countOf(remoteAddress) - 1;
    if (count > 0) this.#countsByAddress.set(remoteAddress, count);
    else this.#countsByAddress.delete(remoteAddress);
  }

  #countOf(remoteAddress: string): number {
    return this.#countsByAddress.get(remoteAddress) ?? 0;
  }
}

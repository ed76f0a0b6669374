import type { Socket } from "node:net";

/** Why a connection isn't read for now. */
export type ReadHold =
  /** Pipelined requests wait for the one in progress. */
  | "pipelined_requests"
  /** Nobody reads the body yet, and it has many parts. */
  | "unread_parts"
  /** Other connections whose bodies have many parts are read first. */
  | "many_parts";

/**
 * Suspends reading from an HTTP connection. `Socket.pause` alone doesn't last:
 * Node's HTTP server resumes the socket after each message, when a body is read
 * and when the socket drains.
 */
export class ReadGate {
  readonly #socket: Socket;
  readonly #holds = new Set<ReadHold>();

  constructor(socket: Socket) {
    this.#socket = socket;
    socket.on("resume", () => {
      if (this.isHeld) this.#pause();
    });
  }

  get isHeld(): boolean {
    return this.#holds.size > 0;
  }

  hold(hold: ReadHold): void {
    this.#holds.add(hold);
    this.#pause();
  }

  release(hold: ReadHold): void {
    if (!this.#holds.delete(hold) || this.isHeld) return;
    if (!this.#socket.destroyed) this.#socket.resume();
  }

  #pause(): void {
    const socket = this.#socket;
    // The HTTP server stops its parser's reads at this event, which a paused
    // socket doesn't emit again.
    if (socket.isPaused()) socket.emit("pause");
    else socket.pause();
  }
}

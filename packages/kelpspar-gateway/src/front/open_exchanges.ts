import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";

/**
 * Requests from their head until the connection has taken the whole answer or
 * was closed. An answer that was ended but not flushed is lost when the process
 * exits.
 */
export class OpenExchanges {
  /** Responses by connection; a connection stays while it is open. */
  readonly #open = new Map<Socket, Set<ServerResponse>>();
  #count = 0;

  get count(): number {
    return this.#count;
  }

  track(message: IncomingMessage, response: ServerResponse): void {
    const { socket } = message;
    if (socket.destroyed) return;
    const responses = this.#responsesOf(socket);
    responses.add(response);
    this.#count++;
    response.once("close", () => {
      if (responses.delete(response)) this.#count--;
    });
  }

  #responsesOf(socket: Socket): Set<ServerResponse> {
    const existing = this.#open.get(socket);
    if (existing !== undefined) return existing;
    const responses = new Set<ServerResponse>();
    this.#open.set(socket, responses);
    // A pipelined response that was never begun emits nothing.
    socket.once("close", () => {
      this.#open.delete(socket);
      this.#count -= responses.size;
      responses.clear();
    });
    return responses;
  }
}

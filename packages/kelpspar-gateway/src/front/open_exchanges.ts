import type { IncomingMessage, ServerResponse } from "node:http";

/**
 * Requests from their head until the connection has taken the whole answer or
 * was closed. An answer that was ended but not flushed is lost when the process
 * exits.
 */
export class OpenExchanges {
  /** A set, because both events below may announce the same end. */
  readonly #open = new Set<ServerResponse>();

  get count(): number {
    return this.#open.size;
  }

  track(message: IncomingMessage, response: ServerResponse): void {
    const { socket } = message;
    this.#open.add(response);
    const onEnd = (): void => {
      response.off("close", onEnd);
      socket.off("close", onEnd);
      this.#open.delete(response);
    };
    response.on("close", onEnd);
    // A pipelined response that was never begun emits nothing.
    socket.on("close", onEnd);
  }
}

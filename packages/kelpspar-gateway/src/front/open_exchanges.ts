import type { IncomingMessage, ServerResponse } from "node:http";

/**
 * Counts requests from their head until the connection has taken the whole
 * answer or was closed. An answer that was ended but not flushed is lost when
 * the process exits.
 */
export class OpenExchanges {
  #count = 0;

  get count(): number {
    return this.#count;
  }

  track(message: IncomingMessage, response: ServerResponse): void {
    const { socket } = message;
    this.#count++;
    const onEnd = (): void => {
      response.off("close", onEnd);
      socket.off("close", onEnd);
      this.#count--;
    };
    response.on("close", onEnd);
    // A pipelined response that was never begun emits nothing.
    socket.on("close", onEnd);
  }
}

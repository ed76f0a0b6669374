import type { IncomingMessage } from "node:http";
import type { TimerService } from "kelpspar-shared";
import { parseHost } from "kelpspar-shared";
import { request as sendRequest } from "node:http";
import { watchHangUp } from "./watch_hang_up.ts";

/** One request on a connection of its own. */
export interface HttpExchangeOptions {
  /** `address:port`. */
  readonly address: string;
  readonly method: string;
  readonly target: string;
  /** Names and values in turn. */
  readonly headers: readonly string[];
  readonly body: Uint8Array;
  /** How long a connection may take to come about, milliseconds. */
  readonly connectMilliseconds: number;
  readonly timer: TimerService;
  readonly signal: AbortSignal;
}

/** How an exchange went until the head of the answer. */
export type HttpExchangeResult =
  | {
    readonly type: "answered";
    readonly message: IncomingMessage;
    readonly close: () => void;
  }
  /** No connection came about, so that nothing was sent. */
  | {
    readonly type: "unreachable";
    readonly reason: string;
    /** Nothing listens there; else no connection came about in time. */
    readonly isRefused: boolean;
  }
  /** What was sent may have arrived. */
  | { readonly type: "unknown"; readonly reason: string };

/** True when the head says where the body ends. */
function isFramed(message: IncomingMessage): boolean {
  const { headers } = message;
  return headers["content-length"] !== undefined ||
    headers["transfer-encoding"] !== undefined;
}

/**
 * Sends a request on a new connection that is never used again.
 *
 * Endpoints may send a second answer after the first, late, where the next
 * answer is due; and kept connections may fall silent or be dropped as the
 * request is written, which leaves open whether it ran. One sees answers of
 * other requests and calls that end unknown. A connection with nothing
 * outstanding can have neither.
 */
export function exchangeHttp(
  options: HttpExchangeOptions,
): Promise<HttpExchangeResult> {
  const { timer, signal } = options;
  const { address: host, port } = parseHost(options.address);
  return new Promise((resolve) => {
    let isConnected = false;
    const fail = (reason: string, isRefused = false): void => {
      stopConnecting();
      signal.removeEventListener("abort", onAbort);
      resolve(
        isConnected
          ? { type: "unknown", reason }
          : { type: "unreachable", reason, isRefused },
      );
    };
    const outgoing = sendRequest({
      host,
      port,
      method: options.method,
      path: options.target,
      // Node's types know no list of headers in turn; its code does.
      headers: options.headers as unknown as Record<string, string>,
      agent: false,
      setHost: false,
    });
    const onAbort = (): void => {
      outgoing.destroy();
      fail("given up");
    };
    const stopConnecting = timer.registerTimeout(() => {
      if (isConnected) return;
      outgoing.destroy();
      fail("no connection in time");
    }, options.connectMilliseconds);
    // Does nothing until a body is under way that its connection ends.
    let cutBody = (_: Error): void => {};
    outgoing.on("socket", (socket) => {
      socket.setNoDelay(true);
      watchHangUp(socket, () => cutBody(new Error("connection reset")));
      socket.once("connect", () => {
        isConnected = true;
        stopConnecting();
      });
    });
    outgoing.on("response", (message) => {
      signal.removeEventListener("abort", onAbort);
      // Read errors reach whoever reads; without a reader they mean nothing.
      message.on("error", () => {});
      // Node's parser takes any end of the connection for the end of a body
      // without a length. One that was reset is a part of a body, and a caller
      // would get it as a whole one.
      if (!isFramed(message)) cutBody = (error) => void message.destroy(error);
      const close = (): void => void outgoing.destroy();
      resolve({ type: "answered", message, close });
    });
    outgoing.on("error", (error: NodeJS.ErrnoException) => {
      cutBody(error);
      fail(error.message, error.code === "ECONNREFUSED");
    });
    outgoing.on("close", () => fail("closed without an answer"));
    signal.addEventListener("abort", onAbort, { once: true });
    if (signal.aborted) onAbort();
    else outgoing.end(options.body);
  });
}

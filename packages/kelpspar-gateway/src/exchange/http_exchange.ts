import type { ClientRequest, IncomingMessage } from "node:http";
import type { TimerService } from "kelpspar-shared";
import type { MalformedReason } from "kelpspar-http";
import type { BodyFraming } from "./body_framing.ts";
import {
  isFinalStatus,
  MAXIMUM_OVERHEAD_BYTES,
  ProgressGuard,
} from "kelpspar-http";
import { parseHost } from "kelpspar-shared";
import { request as sendRequest } from "node:http";
import { bodyFraming } from "./body_framing.ts";
import {
  countDroppedBytes,
  countRejectedBytes,
} from "./count_surplus_bytes.ts";
import { watchBody } from "./watch_body.ts";
import { watchHangUp } from "./watch_hang_up.ts";

/** A request on a dedicated connection. */
export interface HttpExchangeOptions {
  /** `address:port`. */
  readonly address: string;
  readonly method: string;
  readonly target: string;
  /** Alternating names and values. */
  readonly headers: readonly string[];
  readonly body: Uint8Array;
  /** Connect timeout, milliseconds. */
  readonly connectTimeoutMilliseconds: number;
  readonly timer: TimerService;
  readonly signal: AbortSignal;
  /**
   * Called when the connection opens or fails, but not when `signal` aborts it.
   */
  readonly onConnection?: (isConnected: boolean) => void;
  /**
   * Called when the connection was closed for what came on it. The exchange has
   * failed then, unless these bytes came after a whole answer.
   */
  readonly onMalformed?: (reason: MalformedReason, hasFailed: boolean) => void;
}

/** Outcome of an exchange up to the head of the answer. */
export type HttpExchangeResult =
  | {
    readonly type: "answered";
    readonly message: IncomingMessage;
    readonly framing: BodyFraming;
    readonly close: () => void;
  }
  /** No connection was established, so nothing was sent. */
  | {
    readonly type: "unreachable";
    readonly reason: string;
    /** Nothing listens there; otherwise the connection timed out. */
    readonly isRefused: boolean;
  }
  /** Node rejected the request, e.g. for a header value; nothing was sent. */
  | { readonly type: "unsendable"; readonly reason: string }
  /** The request may have arrived. */
  | { readonly type: "unknown"; readonly reason: string };

/**
 * Sends a request on a new connection that is never reused.
 *
 * On a kept-alive connection an endpoint may send a late second answer to an
 * earlier request where the next answer is expected. The connection may also
 * fall silent or be dropped as the request is written, which leaves unknown
 * whether the request ran. Callers would get answers of other requests, or
 * calls with an unknown outcome. A connection used once has neither problem.
 *
 * Never rejects.
 */
export function exchangeHttp(
  options: HttpExchangeOptions,
): Promise<HttpExchangeResult> {
  const { timer, signal } = options;
  const { address: host, port } = parseHost(options.address);
  return new Promise((resolve) => {
    let isConnected = false;
    let onConnection = options.onConnection ?? ((): void => {});
    const reportConnection = (hasConnected: boolean): void => {
      const report = onConnection;
      onConnection = () => {};
      report(hasConnected);
    };
    const fail = (reason: string, isRefused = false): void => {
      if (!signal.aborted) reportConnection(isConnected);
      stopConnecting();
      signal.removeEventListener("abort", onAbort);
      resolve(
        isConnected
          ? { type: "unknown", reason }
          : { type: "unreachable", reason, isRefused },
      );
    };
    const { onMalformed = (): void => {} } = options;
    const guard = new ProgressGuard(({ reason }) => onMalformed(reason, true));
    let outgoing: ClientRequest;
    try {
      outgoing = sendRequest({
        host,
        port,
        method: options.method,
        path: options.target,
        // Node accepts a flat list of headers, but its types don't declare it.
        headers: options.headers as unknown as Record<string, string>,
        agent: false,
        setHost: false,
      });
    } catch (error) {
      resolve({ type: "unsendable", reason: String(error) });
      return;
    }
    const onAbort = (): void => {
      outgoing.destroy();
      fail("given up");
    };
    const stopConnecting = timer.registerTimeout(() => {
      if (isConnected) return;
      outgoing.destroy();
      fail("no connection in time");
    }, options.connectTimeoutMilliseconds);
    // Replaced once a body arrives that ends with its connection.
    let cutBody = (_: Error): void => {};
    outgoing.on("socket", (socket) => {
      socket.setNoDelay(true);
      guard.watch(socket, "data");
      watchHangUp(socket, () => cutBody(new Error("connection reset")));
      socket.once("connect", () => {
        isConnected = true;
        reportConnection(true);
        stopConnecting();
      });
    });
    let hasInformational = false;
    outgoing.on("information", () => {
      hasInformational = true;
      guard.recordInformational();
    });
    let isComplete = (): boolean => false;
    let hasSurplus = false;
    const checkSurplus = (bytes: number): void => {
      if (hasSurplus || bytes < MAXIMUM_OVERHEAD_BYTES) return;
      hasSurplus = true;
      onMalformed("surplus_bytes", false);
    };
    outgoing.on("response", (message) => {
      const { statusCode: status = 0 } = message;
      if (!isFinalStatus(status)) {
        message.on("error", () => {});
        outgoing.destroy();
        onMalformed("odd_status", true);
        fail(`status ${status} is no answer`);
        return;
      }
      guard.recordProgress();
      let bodyBytes = 0;
      watchBody(message, ({ length }) => {
        bodyBytes += length;
        guard.recordProgress();
      });
      isComplete = () => message.complete;
      signal.removeEventListener("abort", onAbort);
      // Errors reach the reader of the body; without a reader they are ignored.
      message.on("error", () => {});
      // Node's parser treats any end of the connection as the end of a body
      // without a length. After a reset the body is incomplete, but the caller
      // would get it as a complete one.
      const framing = bodyFraming(message, options.method);
      if (framing === "close_delimited") {
        cutBody = (error) => void message.destroy(error);
      }
      message.once("end", () => {
        if (hasInformational) return;
        checkSurplus(countDroppedBytes({ message, framing, bodyBytes }));
      });
      const close = (): void => void outgoing.destroy();
      resolve({ type: "answered", message, framing, close });
    });
    outgoing.on("error", (error: NodeJS.ErrnoException) => {
      if (isComplete()) checkSurplus(countRejectedBytes(error));
      cutBody(error);
      fail(error.message, error.code === "ECONNREFUSED");
    });
    outgoing.on("close", () => fail("closed without an answer"));
    signal.addEventListener("abort", onAbort, { once: true });
    if (signal.aborted) onAbort();
    else outgoing.end(options.body);
  });
}

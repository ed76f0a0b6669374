import type { IncomingMessage } from "node:http";
import { GrowingBuffer } from "./growing_buffer.ts";

/** Why the body of a request was not received. */
export type BodyFailure =
  /** It has more bytes than allowed; the rest is still to be read. */
  | "too_large"
  /** The caller closed the connection, so that nothing can be answered. */
  | "cut";

/** Options of `receiveBody`. */
export interface ReceiveBodyOptions {
  readonly maximumBytes: number;
}

/** The bytes that a request declares for its body; 0 if it declares none. */
export function declaredBodyBytes(message: IncomingMessage): number {
  return Number(message.headers["content-length"] ?? 0);
}

/**
 * Receives the body of a request. Uses events, because an iterator of the
 * stream costs more than reading a small body. Never rejects.
 */
export function receiveBody(
  message: IncomingMessage,
  { maximumBytes }: ReceiveBodyOptions,
): Promise<Buffer | BodyFailure> {
  const declaredBytes = declaredBodyBytes(message);
  if (declaredBytes > maximumBytes) return Promise.resolve("too_large");
  const buffer = new GrowingBuffer({
    maximumCapacity: declaredBytes === 0 ? maximumBytes : declaredBytes,
  });
  return new Promise((resolve) => {
    const fail = (failure: BodyFailure): void => {
      message.off("data", onData);
      buffer.clear();
      resolve(failure);
    };
    const onData = (chunk: Buffer): void => {
      if (buffer.length + chunk.length > maximumBytes) fail("too_large");
      else buffer.append(chunk);
    };
    message.on("data", onData);
    message.once("end", () => resolve(buffer.bytes));
    message.once("error", () => fail("cut"));
    message.once("close", () => fail("cut"));
  });
}

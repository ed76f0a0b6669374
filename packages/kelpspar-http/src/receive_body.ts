import type { IncomingMessage } from "node:http";
import type { CallerBudget } from "./caller_budget.ts";
import type { CutReason } from "./caller_holding.ts";
import { BodyBuffer } from "./body_buffer.ts";

/** Why the body of a request was not received; its rest is still to be read. */
export type BodyFailure =
  /** It has more bytes than allowed. */
  | "too_large"
  | CutReason
  /** The caller closed the connection, so that nothing can be answered. */
  | "cut";

/** Options of `receiveBody`. */
export interface ReceiveBodyOptions {
  readonly maximumBytes: number;
  readonly budget: CallerBudget;
  /** Called before the body is read, unless its length is refused. */
  readonly onAdmitted?: (() => void) | undefined;
}

/** A whole body. */
export interface ReceivedBody {
  readonly bytes: Buffer;
  /** To be called when the bytes aren't needed any more. */
  readonly release: () => void;
}

/**
 * Receives the body of a request. Uses events, because an iterator of the
 * stream costs more than reading a small body. Never rejects.
 */
export function receiveBody(
  message: IncomingMessage,
  options: ReceiveBodyOptions,
): Promise<ReceivedBody | BodyFailure> {
  const { maximumBytes, budget, onAdmitted } = options;
  const declaredBytes = readDeclaredBytes(message);
  if (declaredBytes > maximumBytes) return Promise.resolve("too_large");
  if (!budget.admit(declaredBytes)) return Promise.resolve("no_memory");
  onAdmitted?.();
  const buffer = new BodyBuffer();
  return new Promise((resolve) => {
    const fail = (reason: BodyFailure): void => {
      message.off("data", onData);
      holding.end();
      buffer.clear();
      resolve(reason);
    };
    const onCut = (): void => {
      if (holding.isCuttable) fail("cut");
    };
    const holding = budget.open({
      state: "arriving",
      address: message.socket.remoteAddress,
      cut: fail,
    });
    const onData = (chunk: Buffer): void => {
      if (buffer.length + chunk.length > maximumBytes) {
        fail("too_large");
        return;
      }
      buffer.append(chunk);
      holding.progress(chunk.length);
      holding.set(buffer.capacity);
    };
    message.on("data", onData);
    message.once("error", onCut);
    message.once("close", onCut);
    message.once("end", () => {
      holding.keep();
      const bytes = buffer.take();
      holding.set(bytes.length);
      resolve({ bytes, release: () => holding.end() });
    });
  });
}

/** 0 if the body is sent in chunks. */
function readDeclaredBytes(message: IncomingMessage): number {
  return Number(message.headers["content-length"] ?? 0);
}

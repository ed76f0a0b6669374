import type { TimerService } from "kelpspar-shared";
import type { IncomingMessage } from "node:http";
import { Buffer } from "node:buffer";
import { KelpsparError } from "kelpspar-shared";

/** Size and time limits of a request body. */
export interface ReadBodyOptions {
  readonly maximumBytes: number;
  /** How long the body may take to arrive, milliseconds. */
  readonly timeoutMilliseconds: number;
  readonly timer: TimerService;
}

/**
 * Reads a whole request body. Throws `body_too_large`, `request_too_slow` or
 * `malformed_request`.
 */
export async function readBody(
  request: IncomingMessage,
  options: ReadBodyOptions,
): Promise<string> {
  const declared = Number(request.headers["content-length"] ?? 0);
  if (declared > options.maximumBytes) throw tooLarge(options);
  return await new Promise<string>((resolve, reject) => {
    const pieces: Buffer[] = [];
    let size = 0;
    const stopTimer = options.timer.registerTimeout(
      () => reject(tooSlow(options)),
      options.timeoutMilliseconds,
    );
    request.on("data", (piece: Buffer) => {
      size += piece.length;
      if (size > options.maximumBytes) return reject(tooLarge(options));
      pieces.push(piece);
    });
    request.on("end", () => {
      stopTimer();
      resolve(Buffer.concat(pieces).toString("utf8"));
    });
    request.on("error", (cause) => {
      stopTimer();
      reject(connectionLost(cause));
    });
    request.on("aborted", () => {
      stopTimer();
      reject(connectionLost(undefined));
    });
  });
}

/** Parses JSON. Throws `malformed_request` for text that is not JSON. */
export function parseJsonBody(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch (cause) {
    throw new KelpsparError(
      "malformed_request",
      "Cannot read the body: it is not JSON",
      { cause },
    );
  }
}

function tooLarge(options: ReadBodyOptions): KelpsparError {
  return new KelpsparError(
    "body_too_large",
    `Cannot take the body: it is larger than ${options.maximumBytes} bytes`,
  );
}

function tooSlow(options: ReadBodyOptions): KelpsparError {
  return new KelpsparError(
    "request_too_slow",
    `Cannot wait for the body: it took longer than ${options.timeoutMilliseconds} ms`,
  );
}

function connectionLost(cause: unknown): KelpsparError {
  return new KelpsparError(
    "malformed_request",
    "Cannot read the body: the connection was cut",
    cause === undefined ? {} : { cause },
  );
}

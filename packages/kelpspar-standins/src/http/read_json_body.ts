import type { IncomingMessage } from "node:http";

const MAXIMUM_BODY_BYTES = 32 * 1024 * 1024;

/** Thrown for a body that is too long, truncated or not JSON. */
export class BodyError extends Error {}

/** Reads the complete body of a request as text. Throws BodyError. */
export async function readTextBody(request: IncomingMessage): Promise<string> {
  const pieces: Buffer[] = [];
  let bytes = 0;
  try {
    for await (const piece of request) {
      bytes += (piece as Buffer).length;
      if (bytes > MAXIMUM_BODY_BYTES) throw new Error("it is too long");
      pieces.push(piece as Buffer);
    }
    return Buffer.concat(pieces).toString("utf8");
  } catch (cause) {
    throw toBodyError(cause);
  }
}

/**
 * Reads the complete body of a request as JSON; undefined when it is empty.
 * Throws BodyError.
 */
export async function readJsonBody(request: IncomingMessage): Promise<unknown> {
  const text = await readTextBody(request);
  try {
    return text === "" ? undefined : JSON.parse(text);
  } catch (cause) {
    throw toBodyError(cause);
  }
}

function toBodyError(cause: unknown): BodyError {
  const reason = cause instanceof Error ? cause.message : String(cause);
  return new BodyError(`Cannot read the body: ${reason}`, { cause });
}

import type { IncomingMessage } from "node:http";

const LONGEST_BODY_BYTES = 32 * 1024 * 1024;

/** A body that is too long, cut off or not JSON. */
export class BodyError extends Error {}

/**
 * Reads a request's body whole; undefined when it is empty. Throws BodyError.
 */
export async function readJsonBody(request: IncomingMessage): Promise<unknown> {
  const pieces: Buffer[] = [];
  let bytes = 0;
  try {
    for await (const piece of request) {
      bytes += (piece as Buffer).length;
      if (bytes > LONGEST_BODY_BYTES) throw new Error("it is too long");
      pieces.push(piece as Buffer);
    }
    const text = Buffer.concat(pieces).toString("utf8");
    return text === "" ? undefined : JSON.parse(text);
  } catch (cause) {
    const reason = cause instanceof Error ? cause.message : String(cause);
    throw new BodyError(`Cannot read the body: ${reason}`, { cause });
  }
}

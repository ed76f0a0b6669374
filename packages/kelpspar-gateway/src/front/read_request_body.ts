import type { IncomingMessage } from "node:http";

/** Reads a request's body; tells when it is too large or was cut. */
export async function readRequestBody(
  message: IncomingMessage,
  limit: number,
): Promise<Uint8Array | "too_large" | "cut"> {
  const chunks: Buffer[] = [];
  let length = 0;
  try {
    for await (const chunk of message) {
      length += (chunk as Buffer).length;
      if (length > limit) return "too_large";
      chunks.push(chunk as Buffer);
    }
  } catch {
    // The caller closed its connection; nobody is left to be told.
    return "cut";
  }
  return message.complete ? Buffer.concat(chunks) : "cut";
}

import type { Readable } from "node:stream";

/** The largest answer that is read whole, bytes. */
const MAXIMUM_ANSWER_BYTES = 16 * 1024 * 1024;

/** Reads a whole body; throws when it was cut or is too large. */
export async function readBody(body: Readable): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let length = 0;
  for await (const chunk of body) {
    const bytes = chunk as Buffer;
    length += bytes.length;
    if (length > MAXIMUM_ANSWER_BYTES) {
      throw new Error(
        `The answer is larger than ${MAXIMUM_ANSWER_BYTES} bytes`,
      );
    }
    chunks.push(bytes);
  }
  return Buffer.concat(chunks);
}

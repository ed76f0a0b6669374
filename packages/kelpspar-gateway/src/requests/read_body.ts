import type { Readable } from "node:stream";

/** Largest answer that is buffered whole. */
const MAXIMUM_ANSWER_BYTES = 16 * 1024 * 1024;

/** Reads a whole body; throws if it is truncated or too large. */
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

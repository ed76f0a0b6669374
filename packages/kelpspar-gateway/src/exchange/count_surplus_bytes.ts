import type { IncomingMessage } from "node:http";
import type { BodyFraming } from "./body_framing.ts";

/** The fields that Node.js adds to errors of its HTTP parser. */
interface ParserError extends Error {
  readonly bytesParsed?: number;
  /** The bytes of the read in which the error occurred. */
  readonly rawPacket?: Uint8Array;
}

/** What was received of an answer that is the only one of its connection. */
export interface ReceivedBytes {
  readonly message: IncomingMessage;
  readonly framing: BodyFraming;
  /** Length of the body without its framing. */
  readonly bodyBytes: number;
}

/** `": "` and the end of a header line. */
const HEADER_LINE_BYTES = 4;
/** The version, the status and the line ends of a status line and a head. */
const STATUS_LINE_BYTES = "HTTP/1.1 200 \r\n\r\n".length;

/** Number of bytes of a read that the parser rejected; 0 for other errors. */
export function countRejectedBytes(error: ParserError): number {
  const { rawPacket, bytesParsed } = error;
  if (rawPacket === undefined || bytesParsed === undefined) return 0;
  return rawPacket.length - bytesParsed;
}

/**
 * Number of bytes that came after the end of an answer and that the parser
 * dropped without an error, as some versions of it do; 0 where the length of the
 * answer on the connection isn't known.
 */
export function countDroppedBytes(
  { message, framing, bodyBytes }: ReceivedBytes,
): number {
  const isKnown = framing === "content_length" || framing === "no_body";
  if (!isKnown || !message.complete) return 0;
  const { rawHeaders, statusMessage = "", socket } = message;
  const headerBytes = rawHeaders.reduce((sum, text) => sum + text.length, 0) +
    rawHeaders.length / 2 * HEADER_LINE_BYTES;
  const headBytes = STATUS_LINE_BYTES + statusMessage.length + headerBytes;
  return socket.bytesRead - headBytes - bodyBytes;
}

import type { Duplex } from "node:stream";

const CHUNKED_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n";
const PIECE_BYTES = 16 * 1024;

/** Bytes that are no answer and don't end. */
export interface EndlessBytes {
  /** Precedes the repeated text; headers may be added after its first line. */
  readonly start: string;
  readonly repeated: string;
  /** Ends the connection after about so many bytes; default never. */
  readonly maximumBytes?: number;
  /** Pause between two single bytes; default as fast as they are read. */
  readonly intervalMilliseconds?: number;
}

/** Kinds of endless bytes, by name. */
export const ENDLESS_BYTES: Readonly<Record<string, EndlessBytes>> = {
  "empty lines": { start: "", repeated: "\r\n" },
  "no HTTP": { start: "", repeated: "x" },
  "a status line": { start: "HTTP/1.1 200 ", repeated: "x" },
  "one header": { start: "HTTP/1.1 200 OK\r\nA: ", repeated: "x" },
  "headers": { start: "HTTP/1.1 200 OK\r\n", repeated: "A: x\r\n" },
  "informational answers": {
    start: "",
    repeated: "HTTP/1.1 102 Processing\r\n\r\n",
  },
  "a chunk size": { start: `${CHUNKED_HEAD}\r\n`, repeated: "0" },
  "a chunk extension": { start: `${CHUNKED_HEAD}\r\n1;`, repeated: "x" },
  "no chunk": { start: `${CHUNKED_HEAD}\r\n`, repeated: "x" },
  "trailers": { start: `${CHUNKED_HEAD}\r\n0\r\n`, repeated: "A: x\r\n" },
  "a chunk size after a chunk": {
    start: `${CHUNKED_HEAD}\r\n5\r\nid: 1\r\n`,
    repeated: "0",
  },
};

/** Sends the bytes, with additional header lines, until the other side closes. */
export function sendEndlessBytes(
  stream: Duplex,
  { start, repeated, maximumBytes = Infinity, intervalMilliseconds }:
    EndlessBytes,
  headerLines: readonly string[] = [],
): void {
  const lines = headerLines.map((line) => `${line}\r\n`).join("");
  const piece = Buffer.alloc(PIECE_BYTES, repeated);
  let sent = 0;
  const send = (): void => {
    if (stream.destroyed) return;
    while (sent < maximumBytes) {
      sent += PIECE_BYTES;
      if (!stream.write(piece)) break;
    }
    if (sent >= maximumBytes) stream.end();
    else stream.once("drain", () => setImmediate(send));
  };
  stream.on("error", () => {});
  if (start !== "") stream.write(start.replace("OK\r\n", `OK\r\n${lines}`));
  if (intervalMilliseconds === undefined) return send();
  const byte = piece.subarray(0, 1);
  const interval = setInterval(() => stream.write(byte), intervalMilliseconds);
  stream.once("close", () => clearInterval(interval));
}

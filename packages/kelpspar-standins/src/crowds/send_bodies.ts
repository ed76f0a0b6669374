import type { CrowdBehaviour } from "./crowd_behaviour.ts";

const PIECE_BYTES = 64 * 1024;
/** How long callers wait for `100 Continue` before they send anyway. */
const CONTINUE_MILLISECONDS = 1_000;
const CHUNKED = "Transfer-Encoding: chunked";
const LAST_CHUNK = "0\r\n\r\n";

/** Options of `sendChunks`. */
export interface SendChunksOptions {
  readonly bytes: number;
  readonly chunkBytes: number;
  /** Whether the end of the body is sent; default false. */
  readonly isWhole?: boolean;
}

/** Sends a body in chunks of one size. */
export function sendChunks(options: SendChunksOptions): CrowdBehaviour {
  const { bytes, chunkBytes, isWhole = false } = options;
  const size = chunkBytes.toString(16);
  const chunk = `${size}\r\n${"x".repeat(chunkBytes)}\r\n`;
  const perPiece = Math.max(1, Math.floor(PIECE_BYTES / chunk.length));
  const piece = Buffer.from(chunk.repeat(perPiece));
  const encodedBytes = Math.floor(bytes / chunkBytes) * chunk.length;
  const rest = bytes % chunkBytes;
  const lastChunk = rest === 0
    ? ""
    : `${rest.toString(16)}\r\n${"x".repeat(rest)}\r\n`;
  return async (caller) => {
    const connection = await caller.connect();
    await connection.write(caller.head({ fields: [CHUNKED] }));
    await caller.writeRepeatedly(piece, { bytes: encodedBytes });
    if (caller.isOver) return;
    await connection.write(lastChunk);
    if (!isWhole) return;
    await connection.write(LAST_CHUNK);
    await connection.waitUntil(() => connection.answer !== undefined);
  };
}

/** Options of `sendBody`. */
export interface SendBodyOptions {
  /** Content length. */
  readonly announcedBytes: number;
  /** Bytes that are sent; default all. */
  readonly bytes?: number;
  /** Whether callers ask first, by `Expect: 100-continue`; default false. */
  readonly isAsked?: boolean;
  /** Default 64 KiB. */
  readonly pieceBytes?: number;
  /** Pause after each piece; default none. */
  readonly pauseMilliseconds?: number;
}

/** Sends a body with a content length. */
export function sendBody(options: SendBodyOptions): CrowdBehaviour {
  const { announcedBytes, isAsked = false, pauseMilliseconds = 0 } = options;
  const { bytes = announcedBytes, pieceBytes = PIECE_BYTES } = options;
  const piece = Buffer.alloc(pieceBytes, "x");
  const fields = [
    `Content-Length: ${announcedBytes}`,
    ...(isAsked ? ["Expect: 100-continue"] : []),
  ];
  return async (caller) => {
    const connection = await caller.connect();
    await connection.write(caller.head({ fields }));
    if (isAsked) {
      await connection.waitUntil(
        () => connection.hasBytes,
        CONTINUE_MILLISECONDS,
      );
      if (connection.answer !== undefined) return;
    }
    await caller.writeRepeatedly(piece, { bytes, pauseMilliseconds });
    if (bytes < announcedBytes) return;
    await connection.waitUntil(() => connection.answer !== undefined);
  };
}

/** Sends bodies that are cut by a reset, again and again. */
export function sendThenReset(options: {
  readonly announcedBytes: number;
  readonly bytes: number;
}): CrowdBehaviour {
  const send = sendBody(options);
  return async (caller) => {
    while (!caller.isOver) {
      await send(caller);
      caller.connection?.reset();
    }
  };
}

/** Sends trailers after a short body without end. */
export function sendTrailers(): CrowdBehaviour {
  const trailer = `X-Trailer: ${"x".repeat(1_000)}\r\n`;
  return sendWithoutEnd("4\r\nbody\r\n0\r\n", trailer);
}

/** Sends the extension of a chunk without end. */
export function sendExtensions(): CrowdBehaviour {
  return sendWithoutEnd("4", `;x=${"x".repeat(1_000)}`);
}

/** Sends a chunked body without end. */
export function sendChunksWithoutEnd(): CrowdBehaviour {
  return sendWithoutEnd("", `1000\r\n${"x".repeat(0x1000)}\r\n`);
}

function sendWithoutEnd(start: string, repeated: string): CrowdBehaviour {
  const piece = Buffer.from(
    repeated.repeat(Math.ceil(PIECE_BYTES / repeated.length)),
  );
  return async (caller) => {
    const connection = await caller.connect();
    await connection.write(caller.head({ fields: [CHUNKED] }) + start);
    await caller.writeRepeatedly(piece, { bytes: Number.POSITIVE_INFINITY });
  };
}

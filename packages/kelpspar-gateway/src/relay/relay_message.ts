import type { ServingRequest } from "../requests/serving_request.ts";
import type { StreamOrigin } from "../streams/stream_origin.ts";
import { z } from "zod";
import { streamOriginSchema } from "../streams/stream_origin.ts";

const messageSchema = z.object({
  /** The sender's configuration; the receiver needs it or a later one. */
  configurationVersion: z.number(),
  /** Endpoints that may still run a repeatable request. */
  attemptsLeft: z.number().int().min(1),
  streamOrigin: streamOriginSchema.optional(),
  /** Daemons of the previous version don't send it. */
  earlierStagesMilliseconds: z.number().optional(),
  /** Time until a sender that was told to stop gives its open requests up. */
  senderEndsInMilliseconds: z.number().nonnegative().optional(),
  request: z.object({
    attemptId: z.string(),
    method: z.string(),
    host: z.string(),
    target: z.string(),
    headers: z.array(z.string()),
    callerKey: z.string().optional(),
    /** Time that is left of the request's deadline. */
    deadlineMilliseconds: z.number(),
    promptParts: z.array(z.object({ id: z.string(), tokens: z.number() })),
    pieceCounts: z.array(z.number().int().min(0)),
    pieceKey: z.string(),
    lastEventId: z.string().optional(),
    resumedAttemptId: z.string().optional(),
    /** Base64. */
    body: z.string(),
  }),
});

/** A request as one daemon relays it to another. */
export interface RelayMessage {
  readonly configurationVersion: number;
  readonly attemptsLeft: number;
  /** Software that began the stream, if the sender knows it. */
  readonly streamOrigin?: StreamOrigin | undefined;
  /** How long ago the sender began the stages; undefined if it didn't. */
  readonly earlierStagesMilliseconds?: number | undefined;
  /** When a sender that was told to stop ends; undefined while it serves. */
  readonly senderEndsInMilliseconds?: number | undefined;
  readonly request: ServingRequest;
}

/** Bytes of the body that are encoded at a time; a multiple of three. */
const ENCODED_PART_BYTES = 48 * 1024;
const BASE64_RATIO = 4 / 3;
/** Upper bound of an encoded message beside its texts and its body. */
const MESSAGE_OVERHEAD_BYTES = 16 * 1024;
/** What follows the body, which is empty at first, in an encoded message. */
const MESSAGE_END = '"}}';

/** About how many bytes the encoded message takes. */
export function relayMessageBytes({ request }: RelayMessage): number {
  return MESSAGE_OVERHEAD_BYTES +
    Math.ceil(request.body.length * BASE64_RATIO);
}

/**
 * Encodes a message as JSON. The body is encoded in parts, because texts of the
 * whole body would hold several times its bytes.
 */
export function encodeRelayMessage(message: RelayMessage): Buffer {
  const { request: { body, ...request }, ...rest } = message;
  const text = JSON.stringify({ ...rest, request: { ...request, body: "" } });
  const head = Buffer.from(text.slice(0, -MESSAGE_END.length));
  const bodyLength = Math.ceil(body.length / 3) * 4;
  const encoded = Buffer.allocUnsafeSlow(
    head.length + bodyLength + MESSAGE_END.length,
  );
  let length = head.copy(encoded);
  const bytes = Buffer.from(body.buffer, body.byteOffset, body.length);
  for (let start = 0; start < bytes.length; start += ENCODED_PART_BYTES) {
    const end = start + ENCODED_PART_BYTES;
    const part = bytes.toString("base64", start, end);
    length += encoded.write(part, length, "latin1");
  }
  encoded.write(MESSAGE_END, length, "latin1");
  return encoded;
}

/** Decodes a message; throws if it isn't valid. */
export function decodeRelayMessage(bytes: Uint8Array): RelayMessage {
  const { buffer, byteOffset, length } = bytes;
  const text = Buffer.from(buffer, byteOffset, length).toString("utf8");
  const { request, ...rest } = messageSchema.parse(JSON.parse(text));
  return {
    ...rest,
    request: {
      ...request,
      callerKey: request.callerKey,
      lastEventId: request.lastEventId,
      body: Buffer.from(request.body, "base64"),
    },
  };
}

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

/** Encodes a message as JSON. */
export function encodeRelayMessage(message: RelayMessage): Buffer {
  const { request } = message;
  const body = Buffer.from(request.body).toString("base64");
  return Buffer.from(
    JSON.stringify({ ...message, request: { ...request, body } }),
  );
}

/** Decodes a message; throws if it isn't valid. */
export function decodeRelayMessage(bytes: Uint8Array): RelayMessage {
  const text = Buffer.from(bytes).toString("utf8");
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

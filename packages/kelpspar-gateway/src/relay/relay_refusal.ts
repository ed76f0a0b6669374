import type { DaemonAnswer } from "../requests/request_reply.ts";
import { z } from "zod";

/** A daemon's own answer to a relayed request. */
export interface RelayRefusal extends DaemonAnswer {
  /** True if the daemon itself is unable to serve; another one may be able. */
  readonly isUnable: boolean;
  /** How long ago it began the request's stages; undefined if it didn't. */
  readonly stagesMilliseconds?: number | undefined;
}

const refusalSchema = z.object({
  status: z.number().int().min(400).max(599),
  retryAfterMilliseconds: z.number().nonnegative().optional(),
  message: z.string(),
  isUnable: z.boolean(),
  /** Daemons of the previous version don't send it. */
  stagesMilliseconds: z.number().nonnegative().optional(),
});

export function encodeRelayRefusal(refusal: RelayRefusal): Buffer {
  return Buffer.from(JSON.stringify(refusal));
}

/** Throws if the refusal isn't valid. */
export function decodeRelayRefusal(bytes: Buffer): RelayRefusal {
  const { retryAfterMilliseconds, ...refusal } = refusalSchema.parse(
    JSON.parse(bytes.toString("utf8")),
  );
  return retryAfterMilliseconds === undefined
    ? refusal
    : { ...refusal, retryAfterMilliseconds };
}

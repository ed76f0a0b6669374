import type {
  DaemonAnswer,
  RefusedProgress,
} from "../requests/request_reply.ts";
import { z } from "zod";

/** A daemon's own answer to a relayed request. */
export interface RelayRefusal extends DaemonAnswer, RefusedProgress {
  /** True if the daemon itself is unable to serve; another one may be able. */
  readonly isUnable: boolean;
}

const refusalSchema = z.object({
  status: z.number().int().min(400).max(599),
  retryAfterMilliseconds: z.number().nonnegative().optional(),
  message: z.string(),
  isUnable: z.boolean(),
  /** Daemons of an earlier version don't send these. */
  stagesMilliseconds: z.number().nonnegative().optional(),
  isDelivered: z.boolean().optional(),
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

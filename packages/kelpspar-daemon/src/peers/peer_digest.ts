import { z } from "zod";

const countSchema = z.number().min(0);

/** Demand and use of one account at one service of one daemon. */
const accountDemandSchema = z.strictObject({
  /** Queued and running cost, runner-milliseconds. */
  demand: countSchema,
  /** Cost charged per second of late, runner-milliseconds. */
  usage: countSchema,
});

/** What a daemon tells its peers every digest interval. */
export const peerDigestSchema = z.strictObject({
  daemonId: z.string(),
  incarnation: z.string(),
  /** Grows with each digest of an incarnation. */
  sequence: z.number().int(),
  address: z.string(),
  port: z.number().int(),
  availabilityZone: z.string(),
  state: z.enum(["live", "leaving"]),
  /** Revision of the configuration in force there. */
  revision: z.number().int(),
  keyEpoch: z.number().int(),
  inFlight: countSchema,
  /** Requests it could run at a time. */
  capacity: countSchema,
  uptimeMilliseconds: countSchema,
  /** By service, then by account. */
  services: z.record(
    z.string(),
    z.record(z.string(), accountDemandSchema),
  ),
});

/** A digest as sent between daemons. */
export type PeerDigest = z.infer<typeof peerDigestSchema>;

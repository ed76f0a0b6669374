import { z } from "zod";

/** How to reach a daemon; the least that one tells of another. */
export const daemonAddressSchema = z.object({
  /** Name of the VM; a daemon restarted there replaces the one before. */
  daemonId: z.string(),
  /** `address:port` for callers. */
  front: z.string(),
  /** `address:port` for other daemons. */
  peer: z.string(),
  zone: z.string(),
});

/** How to reach a daemon. */
export type DaemonAddress = z.infer<typeof daemonAddressSchema>;

/** What a daemon says of itself, and which others it hears. */
export const fleetDigestSchema = z.object({
  ...daemonAddressSchema.shape,
  /** New with each start of the daemon. */
  incarnation: z.string(),
  /** Grows with each digest of an incarnation. */
  sequence: z.number(),
  isLeaving: z.boolean(),
  /** False while it knows no configuration and can't serve. */
  isReady: z.boolean(),
  configurationVersion: z.number(),
  /** Since the store's feeds last answered, milliseconds. */
  storeAgeMilliseconds: z.number(),
  /** Daemons it heard from lately, with itself left out. */
  known: z.array(daemonAddressSchema),
});

/** A digest as sent between daemons. */
export type FleetDigest = z.infer<typeof fleetDigestSchema>;

import { z } from "zod";

/** How to reach a daemon; the same for all of its lives on a VM. */
export const daemonAddressSchema = z.object({
  /** Name of the VM; a daemon restarted there replaces the one before. */
  daemonId: z.string(),
  /** `address:port` for callers. */
  front: z.string(),
  /** `address:port` for other daemons. */
  peer: z.string(),
  zone: z.string(),
  /** Processor share that it has, cores. */
  cores: z.number(),
});

/** How to reach a daemon. */
export type DaemonAddress = z.infer<typeof daemonAddressSchema>;

/** A daemon's own word of itself, as it is passed on by others. */
export interface Heartbeat {
  readonly daemonId: string;
  /** New with each start of the daemon. */
  readonly incarnation: string;
  /** Grows by one each digest interval of an incarnation. */
  readonly sequence: number;
  readonly isLeaving: boolean;
  /** False while it knows no configuration and can't serve. */
  readonly isReady: boolean;
  /** False when the store hasn't answered it lately. */
  readonly isStoreFresh: boolean;
}

/** What daemons tell one another. */
export const fleetDigestSchema = z.object({
  self: daemonAddressSchema,
  configurationVersion: z.number(),
  /** Rises each time that the store comes back from an older copy. */
  storeEra: z.number().optional(),
  /** Of the crashes that it knows of; absent when it knows of none. */
  crashChecksum: z.number().optional(),
  /** Of what endpoints told it and others; absent without any. */
  noticeChecksum: z.number().optional(),
  /**
   * The newest heartbeats it knows, its own first, packed; an answer leaves
   * out those that the asker has.
   */
  heartbeats: z.string(),
});

/** A digest as sent between daemons. */
export type FleetDigest = z.infer<typeof fleetDigestSchema>;

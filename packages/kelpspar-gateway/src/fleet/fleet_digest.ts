import { z } from "zod";
import { slowReportsSchema } from "../load/slow_report.ts";

/** How to reach a daemon; unchanged by restarts on the same VM. */
export const daemonAddressSchema = z.object({
  /** Name of the VM; a daemon restarted there replaces its predecessor. */
  daemonId: z.string(),
  /** `address:port` for callers. */
  front: z.string(),
  /** `address:port` for other daemons. */
  peer: z.string(),
  zone: z.string(),
  /** Processor capacity assigned to the daemon, in cores. */
  cores: z.number(),
});

/** How to reach a daemon. */
export type DaemonAddress = z.infer<typeof daemonAddressSchema>;

/** State that a daemon reports about itself and that others forward. */
export interface Heartbeat {
  readonly daemonId: string;
  /** Unique to each start of the daemon. */
  readonly incarnation: string;
  /** Increases by one in each digest interval of an incarnation. */
  readonly sequence: number;
  readonly isLeaving: boolean;
  /** False while the daemon has no configuration and can't serve. */
  readonly isReady: boolean;
  /** False when the store hasn't answered the daemon recently. */
  readonly isStoreFresh: boolean;
  /** True while the daemon can't connect to any endpoint. */
  readonly isIsolated: boolean;
}

/** Gossip message that daemons exchange. */
export const fleetDigestSchema = z.object({
  self: daemonAddressSchema,
  configurationVersion: z.number(),
  /** Increases each time the store is restored from an older copy. */
  storeEra: z.number().optional(),
  /** Checksum of the crashes that the sender knows; absent without any. */
  crashChecksum: z.number().optional(),
  /** Checksum of the sender's endpoint notices; absent without any. */
  noticeChecksum: z.number().optional(),
  /** Checksum of the endpoint speeds that the sender knows. */
  speedChecksum: z.number().optional(),
  /** Recent reports of slowed endpoints; absent without any. */
  slowEndpoints: slowReportsSchema.optional().catch(undefined),
  /**
   * The newest heartbeats that the sender knows, its own first, packed. A
   * response omits those that the requester already has.
   */
  heartbeats: z.string(),
});

/** A digest as sent between daemons. */
export type FleetDigest = z.infer<typeof fleetDigestSchema>;

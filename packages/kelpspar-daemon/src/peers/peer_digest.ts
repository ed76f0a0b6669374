import { z } from "zod";
import { drainsSchema } from "../operators/drains.ts";

const countSchema = z.number().min(0);
const countsSchema = z.array(countSchema);

const loadReportSchema = z.strictObject({
  incarnation: z.string(),
  sequence: z.number().int(),
  state: z.enum(["loading", "ready", "leaving"]),
  running: countSchema,
  waiting: countSchema,
  concurrency: countSchema,
  accepted: countSchema,
  queuedTokens: countSchema,
  models: z.record(z.string(), z.string()),
  adapters: z.array(z.string()),
  role: z.enum(["any", "prefill", "decode", "service"]),
});

/** What a daemon says of itself and of the endpoints it watches. */
const memberSchema = z.strictObject({
  daemonId: z.string(),
  incarnation: z.string(),
  /** Grows with each digest of an incarnation. */
  sequence: z.number().int(),
  address: z.string(),
  port: z.number().int(),
  peerPort: z.number().int(),
  availabilityZone: z.string(),
  state: z.enum(["serving", "leaving"]),
  keyEpoch: z.number().int(),
  /** Revision of the configuration in force there. */
  revision: z.number().int(),
  spareShare: z.number(),
  loads: z.strictObject({
    endpointIds: z.array(z.string()),
    sequences: countsSchema,
    running: countsSchema,
    waiting: countsSchema,
    accepted: countsSchema,
    agesMilliseconds: countsSchema,
  }),
  changedReports: z.array(z.strictObject({
    endpointId: z.string(),
    report: loadReportSchema,
    ageMilliseconds: countSchema,
  })),
  suspectEndpoints: z.array(z.string()),
  usage: z.strictObject({
    accountIds: z.array(z.string()),
    costs: countsSchema,
  }),
});

/** What a daemon's accounts ask of the services that the fleet shares. */
const demandSchema = z.strictObject({
  scope: z.enum(["daemon", "zone"]),
  incarnation: z.string(),
  sequence: z.number().int(),
  availabilityZone: z.string(),
  daemons: countSchema,
  services: z.array(z.strictObject({
    serviceId: z.string(),
    capacitySeen: countSchema,
    accounts: z.array(z.strictObject({
      accountId: z.string(),
      demand: countSchema,
      usageRate: countSchema,
    })),
  })),
});

const drainsRowSchema = z.strictObject({
  version: z.number().int().min(0),
  ...drainsSchema.shape,
});

/** What a daemon tells its peers every digest interval. */
export const peerDigestSchema = z.strictObject({
  member: memberSchema,
  demands: z.array(demandSchema),
  /**
   * What operators and orders took out. Passed on, since a store that goes
   * down right after a drain would keep it from all but one daemon.
   */
  drains: drainsRowSchema,
  takenOut: drainsRowSchema,
});

/** A digest as sent between daemons. */
export type PeerDigest = z.infer<typeof peerDigestSchema>;

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

/** A daemon's state and the loads of the endpoints that it polls. */
const memberSchema = z.strictObject({
  daemonId: z.string(),
  incarnation: z.string(),
  /** Incremented with each digest of an incarnation. */
  sequence: z.number().int(),
  address: z.string(),
  port: z.number().int(),
  peerPort: z.number().int(),
  availabilityZone: z.string(),
  state: z.enum(["serving", "leaving"]),
  keyEpoch: z.number().int(),
  /** The daemon's active configuration revision. */
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

/** The demand of a daemon's client accounts for each shared service. */
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

/** The digest that a daemon sends to its peers every digest interval. */
export const peerDigestSchema = z.strictObject({
  member: memberSchema,
  demands: z.array(demandSchema),
  /**
   * Drains by operators and orders. They are gossiped because a store outage
   * right after a drain would otherwise hide it from all daemons but one.
   */
  drains: drainsRowSchema,
  takenOut: drainsRowSchema,
});

/** A digest exchanged between daemons. */
export type PeerDigest = z.infer<typeof peerDigestSchema>;

import { z } from "zod";

const addressSchema = z.union([z.ipv4(), z.ipv6()]);
const portSchema = z.number().int().min(0).max(65_535);
const originSchema = z.url({ protocol: /^http$/ });

/** Origins of the platform's services, as `http://address:port`. */
const platformSchema = z.strictObject({
  tableOrigin: originSchema,
  objectOrigin: originSchema,
  weightOrigin: originSchema,
  vmListOrigin: originSchema,
  /** Timeout of a call to the platform, in milliseconds. */
  timeoutMilliseconds: z.number().int().min(10).default(500),
});

/** Limits of one daemon. */
const limitsSchema = z.strictObject({
  maximumBodyBytes: z.number().int().min(1_024).default(4 * 1024 * 1024),
  maximumHeaderBytes: z.number().int().min(1_024).default(16_384),
  headersTimeoutMilliseconds: z.number().int().min(100).default(5_000),
  bodyTimeoutMilliseconds: z.number().int().min(100).default(10_000),
  maximumConnections: z.number().int().min(1).default(20_000),
  maximumRequests: z.number().int().min(1).default(10_000),
  maximumAnswerBytes: z.number().int().min(1_024).default(8 * 1024 * 1024),
  /** How long a request runs after its caller disconnected, in milliseconds. */
  abandonedGraceMilliseconds: z.number().int().min(0).default(2_000),
  /** Maximum duration of a planned stop, in milliseconds. */
  drainLimitMilliseconds: z.number().int().min(1_000).default(3_700_000),
  keptResultBytes: z.number().int().min(0).default(64 * 1024 * 1024),
});

/** Polling, digest and batching intervals, in milliseconds. */
const intervalsSchema = z.strictObject({
  configurationPollMilliseconds: z.number().int().min(50).default(2_000),
  vmListPollMilliseconds: z.number().int().min(50).default(1_000),
  loadPollMilliseconds: z.number().int().min(20).default(500),
  digestMilliseconds: z.number().int().min(50).default(500),
  claimBatchMilliseconds: z.number().int().min(0).default(4),
  ordersMilliseconds: z.number().int().min(50).default(2_000),
});

const metricsSchema = z.strictObject({
  /** StatsD over UDP; without an address, no metrics are sent. */
  statsdAddress: addressSchema.optional(),
  statsdPort: portSchema.default(8_125),
  prefix: z.string().default("kelpspar."),
});

const logSchema = z.strictObject({
  format: z.enum(["pretty", "json"]).default("json"),
  level: z.enum(["error", "warn", "info", "debug"]).default("info"),
});

const tlsSchema = z.strictObject({
  certificateFile: z.string(),
  keyFile: z.string(),
});

/** The settings file of a daemon. */
export const settingsSchema = z.strictObject({
  daemonId: z.string().min(1).max(100).regex(/^[A-Za-z0-9._-]+$/),
  /** The IP address to listen on and to advertise. */
  address: addressSchema,
  /** 0 selects any free port, for tests. */
  port: portSchema,
  availabilityZone: z.string().min(1).max(100),
  platform: platformSchema,
  /** Daemons to contact before the VM list is known, as `address:port`. */
  seeds: z.array(z.string().regex(/^.+:\d+$/)).default([]),
  /** Shared secret that authenticates the daemons of a site to each other. */
  peerSecret: z.string().min(16),
  /** SHA-256 of the bootstrap key, which may apply the first configuration. */
  bootstrapOperatorKeyHash: z.string().regex(/^[0-9a-f]{64}$/).optional(),
  limits: limitsSchema.prefault({}),
  intervals: intervalsSchema.prefault({}),
  metrics: metricsSchema.prefault({}),
  log: logSchema.prefault({}),
  tls: tlsSchema.optional(),
});

/** Validated settings, with defaults filled in. */
export type Settings = z.infer<typeof settingsSchema>;

import { z } from "zod";
import { endpointFaultsSchema } from "./endpoint_faults.ts";

/** How a model engine behaves. */
export const engineSettingsSchema = z.strictObject({
  /** Models loaded from the beginning, with their version. */
  models: z.record(z.string(), z.string()).default({}),
  adapters: z.array(z.string()).default([]),
  role: z.enum(["any", "prefill", "decode"]).default("any"),
  /** Calls that advance together. */
  maximumBatch: z.number().int().min(1).default(8),
  /** Calls that may wait beyond those. */
  maximumWaiting: z.number().int().min(0).default(32),
  /** Time of a step, and what each call of the batch adds, milliseconds. */
  stepMilliseconds: z.number().min(0).default(8),
  stepPerCallMilliseconds: z.number().min(0).default(1),
  prefillPerTokenMilliseconds: z.number().min(0).default(0.2),
  /** Output tokens of an input that names no `tokens=N`. */
  defaultTokens: z.number().int().min(1).default(16),
  /** Size of the prefix cache, tokens. */
  cacheTokens: z.number().int().min(0).default(20_000),
  /** Share of an input that is its shared prefix. */
  prefixShare: z.number().min(0).max(1).default(0.8),
  loadModelMilliseconds: z.number().min(0).default(500),
  /** Refuses orders with an old fencing number. */
  checksFencing: z.boolean().default(true),
  /** Cuts the calls of a model that an order unloads. */
  unloadCutsRunning: z.boolean().default(false),
  /** How long an attempt lives without a connection, milliseconds. */
  graceMilliseconds: z.number().min(0).default(2_000),
  /** How often a load report is taken, and how late it shows. */
  reportEveryMilliseconds: z.number().min(1).default(100),
  reportLagMilliseconds: z.number().min(0).default(100),
  /** How late cache events come, and the share that never does. */
  eventDelayMilliseconds: z.number().min(0).default(100),
  eventGapShare: z.number().min(0).max(1).default(0),
});

/** How a plain service behaves. */
export const plainSettingsSchema = z.strictObject({
  /** Begins its answers; default the name of the service. */
  marker: z.string().optional(),
  /** Calls it runs at a time. */
  concurrency: z.number().int().min(1).default(4),
  /** Calls that may wait beyond those. */
  maximumWaiting: z.number().int().min(0).default(64),
  /** Mean time of a call, milliseconds. */
  serviceMilliseconds: z.number().min(0).default(20),
  /** Times lie this share around the mean, 0 to 1. */
  spread: z.number().min(0).max(1).default(0.2),
  /** Words added to each answer, so that it grows as a retrieval's does. */
  paddingWords: z.number().int().min(0).default(0),
});

/** Settings of the process that stands in for one endpoint. */
export const endpointSettingsSchema = z.strictObject({
  kind: z.enum(["engine", "plain"]),
  /** The id of the service in the configuration. */
  service: z.string(),
  address: z.string().default("127.0.0.1"),
  port: z.number().int().min(0).max(65_535).default(0),
  /** Default: by chance, so that it changes with each start. */
  incarnation: z.string().optional(),
  /** Seeds all other chance of this endpoint. */
  seed: z.number().int().default(1),
  /** Prints a line for each execution, which outlives the process. */
  printExecutions: z.boolean().default(false),
  faults: endpointFaultsSchema.prefault({}),
  engine: engineSettingsSchema.prefault({}),
  plain: plainSettingsSchema.prefault({}),
});

/** Settings as written, defaults left out. */
export type EndpointSettings = z.input<typeof endpointSettingsSchema>;

/** Settings with every default filled in. */
export type WholeEndpointSettings = z.infer<typeof endpointSettingsSchema>;

/** Settings of an engine, with every default filled in. */
export type EngineSettings = z.infer<typeof engineSettingsSchema>;

/** Settings of a plain service, with every default filled in. */
export type PlainSettings = z.infer<typeof plainSettingsSchema>;

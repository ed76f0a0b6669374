import { z } from "zod";
import { endpointFaultsSchema } from "./endpoint_faults.ts";

/** Schema of a model engine's settings. */
export const engineSettingsSchema = z.strictObject({
  /** Versions of the models loaded at the start, by model. */
  models: z.record(z.string(), z.string()).default({}),
  adapters: z.array(z.string()).default([]),
  role: z.enum(["any", "prefill", "decode"]).default("any"),
  /** Maximum number of calls in a batch. */
  maximumBatch: z.number().int().min(1).default(8),
  /** Maximum number of calls that wait in addition. */
  maximumWaiting: z.number().int().min(0).default(32),
  /** Fixed time of a step, and additional time per call, milliseconds. */
  stepMilliseconds: z.number().min(0).default(8),
  stepPerCallMilliseconds: z.number().min(0).default(1),
  prefillPerTokenMilliseconds: z.number().min(0).default(0.2),
  /** Output tokens for an input without a `tokens=N` tag. */
  defaultTokens: z.number().int().min(1).default(16),
  /** Size of the prefix cache, tokens. */
  cacheTokens: z.number().int().min(0).default(20_000),
  /** Share of an input that belongs to its prefix. */
  prefixShare: z.number().min(0).max(1).default(0.8),
  loadModelMilliseconds: z.number().min(0).default(500),
  /** Whether orders with a stale fencing number are refused. */
  checksFencing: z.boolean().default(true),
  /** Whether running calls fail when an order unloads their model. */
  unloadCutsRunning: z.boolean().default(false),
  /** Time that an attempt is kept without a connection, milliseconds. */
  graceMilliseconds: z.number().min(0).default(2_000),
  /** Interval of load reports, and the delay of their publication. */
  reportEveryMilliseconds: z.number().min(1).default(100),
  reportLagMilliseconds: z.number().min(0).default(100),
  /** Delay of cache events, and the share that is lost. */
  eventDelayMilliseconds: z.number().min(0).default(100),
  eventGapShare: z.number().min(0).max(1).default(0),
});

/** Schema of a plain service's settings. */
export const plainSettingsSchema = z.strictObject({
  /** Prefix of all answers; default: the name of the service. */
  marker: z.string().optional(),
  /** Maximum number of calls that run at a time. */
  concurrency: z.number().int().min(1).default(4),
  /** Maximum number of calls that wait in addition. */
  maximumWaiting: z.number().int().min(0).default(64),
  /** Mean time of a call, milliseconds. */
  serviceMilliseconds: z.number().min(0).default(20),
  /** Maximum relative deviation from the mean time, 0 to 1. */
  spread: z.number().min(0).max(1).default(0.2),
  /** Words appended to each answer, to simulate a long retrieval result. */
  paddingWords: z.number().int().min(0).default(0),
});

/** Schema of the settings of an endpoint stand-in process. */
export const endpointSettingsSchema = z.strictObject({
  kind: z.enum(["engine", "plain"]),
  /** The id of the service in the configuration. */
  service: z.string(),
  address: z.string().default("127.0.0.1"),
  port: z.number().int().min(0).max(65_535).default(0),
  /** Default: random, so that it changes with each start. */
  incarnation: z.string().optional(),
  /** Seed of all other random choices of this endpoint. */
  seed: z.number().int().default(1),
  /** Prints a line per execution, so that a record survives the process. */
  printExecutions: z.boolean().default(false),
  faults: endpointFaultsSchema.prefault({}),
  engine: engineSettingsSchema.prefault({}),
  plain: plainSettingsSchema.prefault({}),
});

/** Settings as input, with defaults omitted. */
export type EndpointSettings = z.input<typeof endpointSettingsSchema>;

/** Settings with all defaults applied. */
export type ResolvedEndpointSettings = z.infer<typeof endpointSettingsSchema>;

/** Settings of an engine, with all defaults applied. */
export type EngineSettings = z.infer<typeof engineSettingsSchema>;

/** Settings of a plain service, with all defaults applied. */
export type PlainSettings = z.infer<typeof plainSettingsSchema>;

import { z } from "zod";

/** Limits that apply to the whole site. */
export const limitsSchema = z.strictObject({
  /** Retries allowed per success, for each account and each stage. */
  retryShare: z.number().min(0).max(1).default(0.1),
  /** Hedges allowed per call, for each stage; 0 turns hedging off. */
  hedgeShare: z.number().min(0).max(1).default(0.03),
  /** Maximum share of a service's endpoints that are ejected at a time. */
  ejectedShare: z.number().min(0).max(0.9).default(0.5),
  /** How long a completed result is kept for retries, in milliseconds. */
  resultKeepMilliseconds: z.number().int().min(1_000).default(900_000),
  /** Maximum size of a result that is kept, in bytes. */
  resultKeepBytes: z.number().int().min(0).default(65_536),
  /** How long a caller caches a response of the directory, in milliseconds. */
  addressKeepMilliseconds: z.number().int().min(100).default(5_000),
});

/** Limits of the configuration. */
export type LimitsConfiguration = z.infer<typeof limitsSchema>;

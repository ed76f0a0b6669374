import { z } from "zod";
import { serviceFaultsSchema } from "../faults/service_faults.ts";
import { tableFaultsSchema } from "../table/table_faults.ts";

const portSchema = z.number().int().min(0).max(65_535).default(0);

const listedVmSchema = z.strictObject({
  id: z.string(),
  incarnation: z.string(),
  address: z.string(),
  port: z.number().int(),
  availabilityZone: z.string(),
  kind: z.enum(["daemon", "endpoint"]),
  service: z.string(),
  state: z.enum(["live", "leaving"]),
  checksFencing: z.boolean(),
});

/** Schema of the settings of the platform stand-in process. */
export const platformSettingsSchema = z.strictObject({
  address: z.string().default("127.0.0.1"),
  /** Seed of all random choices of this process. */
  seed: z.number().int().default(1),
  table: z.strictObject({
    port: portSchema,
    faults: tableFaultsSchema.prefault({}),
  }).prefault({}),
  objects: z.strictObject({
    port: portSchema,
    faults: serviceFaultsSchema.prefault({}),
  }).prefault({}),
  weights: z.strictObject({
    port: portSchema,
    faults: serviceFaultsSchema.prefault({}),
    /** Loads granted per second; 0 for no limit. */
    loadsPerSecond: z.number().min(0).default(0),
  }).prefault({}),
  vms: z.strictObject({
    port: portSchema,
    faults: serviceFaultsSchema.prefault({}),
    /** Delay until a change of the list is visible, milliseconds. */
    lagMilliseconds: z.number().min(0).default(500),
    /** VMs that are visible from the start. */
    vms: z.array(listedVmSchema).default([]),
  }).prefault({}),
});

/** Settings as input, with defaults omitted. */
export type PlatformSettings = z.input<typeof platformSettingsSchema>;

/** Settings with all defaults applied. */
export type ResolvedPlatformSettings = z.infer<typeof platformSettingsSchema>;

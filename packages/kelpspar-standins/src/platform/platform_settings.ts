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

/** Settings of the process that stands in for the platform. */
export const platformSettingsSchema = z.strictObject({
  address: z.string().default("127.0.0.1"),
  /** Seeds all chance of this process. */
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
    /** Loads granted a second; 0 for no limit. */
    loadsPerSecond: z.number().min(0).default(0),
  }).prefault({}),
  vms: z.strictObject({
    port: portSchema,
    faults: serviceFaultsSchema.prefault({}),
    /** How long a change of the list stays hidden, milliseconds. */
    lagMilliseconds: z.number().min(0).default(500),
    /** Visible from the beginning. */
    vms: z.array(listedVmSchema).default([]),
  }).prefault({}),
});

/** Settings as written, defaults left out. */
export type PlatformSettings = z.input<typeof platformSettingsSchema>;

/** Settings with every default filled in. */
export type WholePlatformSettings = z.infer<typeof platformSettingsSchema>;

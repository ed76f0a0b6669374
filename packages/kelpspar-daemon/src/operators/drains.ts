import { z } from "zod";

/**
 * Endpoints and daemons that operators took out, by id, with the VM's
 * incarnation at that time, so that a drain ends with the VM it was meant for.
 */
export const drainsSchema = z.strictObject({
  endpoints: z.record(z.string(), z.string()),
  daemons: z.record(z.string(), z.string()),
});

/** The row `drains/all` of the table. */
export type Drains = Readonly<z.infer<typeof drainsSchema>>;

/** What can be drained. */
export type DrainKind = "endpoint" | "daemon";

/** Nothing is drained. */
export const NO_DRAINS: Drains = { endpoints: {}, daemons: {} };

/** The field of `Drains` that holds a kind. */
export const DRAIN_FIELDS = {
  endpoint: "endpoints",
  daemon: "daemons",
} as const satisfies Record<DrainKind, keyof Drains>;

import { z } from "zod";

/**
 * Endpoints and daemons that operators took out, by id, with the VM's
 * incarnation at that time, so that a drain ends with the VM it was meant for.
 */
export const drainsSchema = z.strictObject({
  endpoints: z.record(z.string(), z.string()),
  daemons: z.record(z.string(), z.string()),
});

/** What a row of the table `drains` says. */
export type DrainsContent = Readonly<z.infer<typeof drainsSchema>>;

/** A row of the table `drains`, and which of its versions. */
export interface Drains extends DrainsContent {
  /** The row's version in the table; 0 while there is none. */
  readonly version: number;
}

/** What can be drained. */
export type DrainKind = "endpoint" | "daemon";

/** Nothing is drained. */
export const NO_DRAINS: Drains = { version: 0, endpoints: {}, daemons: {} };

/** The field of `Drains` that holds a kind. */
export const DRAIN_FIELDS = {
  endpoint: "endpoints",
  daemon: "daemons",
} as const satisfies Record<DrainKind, keyof DrainsContent>;

import { z } from "zod";

/**
 * Drained endpoints and daemons by id, each with the VM's incarnation at that
 * time, so that a drain ends with the VM that it applied to.
 */
export const drainsSchema = z.strictObject({
  endpoints: z.record(z.string(), z.string()),
  daemons: z.record(z.string(), z.string()),
});

/** The content of a row of the table `drains`. */
export type DrainsContent = Readonly<z.infer<typeof drainsSchema>>;

/** A row of the table `drains` with its version. */
export interface Drains extends DrainsContent {
  /** The row's version in the table; 0 while there is none. */
  readonly version: number;
}

/** The kinds of VM that can be drained. */
export type DrainKind = "endpoint" | "daemon";

/** No drains. */
export const NO_DRAINS: Drains = { version: 0, endpoints: {}, daemons: {} };

/** The field of `Drains` for each kind. */
export const DRAIN_FIELDS = {
  endpoint: "endpoints",
  daemon: "daemons",
} as const satisfies Record<DrainKind, keyof DrainsContent>;

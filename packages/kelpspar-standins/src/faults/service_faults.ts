import { z } from "zod";

/** Schema of the faults common to all platform stand-ins. */
export const serviceFaultsSchema = z.strictObject({
  /**
   * `unavailable` responds with 503, `reset` drops the connection, `hang` never
   * responds. Nothing is written under any of them.
   */
  outage: z.enum(["none", "unavailable", "reset", "hang"]).default("none"),
  /** Delay before each call is handled, milliseconds. */
  latencyMilliseconds: z.number().min(0).default(0),
  /** Maximum random addition to the latency, milliseconds. */
  jitterMilliseconds: z.number().min(0).default(0),
});

/** Faults of a service, with all defaults applied. */
export type ServiceFaults = z.infer<typeof serviceFaultsSchema>;

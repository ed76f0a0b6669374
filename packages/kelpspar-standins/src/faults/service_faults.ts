import { z } from "zod";

/** Faults that every stand-in of the platform has. */
export const serviceFaultsSchema = z.strictObject({
  /**
   * `unavailable` answers 503, `reset` drops the connection, `hang` never
   * answers; under all three nothing is written.
   */
  outage: z.enum(["none", "unavailable", "reset", "hang"]).default("none"),
  /** How long each call takes to arrive, milliseconds. */
  latencyMilliseconds: z.number().min(0).default(0),
  /** Up to this much is added to the latency by chance, milliseconds. */
  jitterMilliseconds: z.number().min(0).default(0),
});

/** Faults of a service, with every default filled in. */
export type ServiceFaults = z.infer<typeof serviceFaultsSchema>;

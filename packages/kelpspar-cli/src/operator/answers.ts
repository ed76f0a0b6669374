import { z } from "zod";

const rowSchema = z.record(z.string(), z.unknown());

/** The answer of `GET /v1/operator/status`. */
export const statusSchema = z.looseObject({
  site: z.string(),
  revision: z.number(),
  daemons: z.array(z.looseObject({
    daemonId: z.string(),
    state: z.string(),
    revision: z.number(),
  })),
});

/** The state of a site, as reported by one daemon. */
export type StatusAnswer = z.infer<typeof statusSchema>;

/** The answer of `GET /v1/operator/accounts`. */
export const accountsSchema = z.looseObject({ accounts: z.array(rowSchema) });

/** The answer of `GET /v1/operator/endpoints`. */
export const endpointsSchema = z.looseObject({ endpoints: z.array(rowSchema) });

/** The answer of `GET /v1/operator/requests/{requestId}`. */
export const requestSchema = z.looseObject({
  requestId: z.string(),
  account: z.string(),
  pipeline: z.string(),
  state: z.string(),
  stages: z.array(rowSchema),
});

/** The answer of `GET /v1/operator/configuration`. */
export const currentConfigurationSchema = z.looseObject({
  revision: z.number(),
  configuration: z.unknown(),
});

/** The configuration in force and its revision. */
export type CurrentConfiguration = z.infer<typeof currentConfigurationSchema>;

/** The answer of `GET /v1/operator/configuration/history`. */
export const historySchema = z.looseObject({ revisions: z.array(rowSchema) });

/** The answer of `POST /v1/operator/configuration`. */
export const appliedSchema = z.looseObject({ revision: z.number() });

/** The answer of `GET /v1/operator/configuration/changes/{changeId}`. */
export const changeSchema = z.discriminatedUnion("state", [
  z.looseObject({ state: z.literal("accepted"), revision: z.number() }),
  z.looseObject({ state: z.literal("unknown") }),
]);

import type { Configuration } from "./schema/configuration_schema.ts";

/**
 * Marks every stage at a service that is not repeatable as `once`, whatever
 * its file says. What goes wrong without it: a booking whose stage somebody
 * forgot to mark would be retried and made twice. Giving the stage its effect
 * here, before anything decides on it, leaves nothing to remember.
 */
export function normalizeConfiguration(
  configuration: Configuration,
): Configuration {
  const notRepeatable = new Set(
    configuration.services.filter((service) => !service.repeatable)
      .map((service) => service.id),
  );
  const pipelines = configuration.pipelines.map((pipeline) => ({
    ...pipeline,
    stages: pipeline.stages.map((stage) =>
      notRepeatable.has(stage.service)
        ? { ...stage, effect: "once" as const }
        : stage
    ),
  }));
  return { ...configuration, pipelines };
}

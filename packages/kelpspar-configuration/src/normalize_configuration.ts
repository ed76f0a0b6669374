import type { Configuration } from "./schema/configuration_schema.ts";

/**
 * Sets the effect of every stage at a service that is not repeatable to `once`,
 * whatever the file says. Otherwise a booking whose stage an operator forgot to
 * mark would be retried and made twice. The effect is set here, before any
 * decision depends on it, so that operators need not remember it.
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

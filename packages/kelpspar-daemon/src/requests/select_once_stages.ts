import type { ServiceConfiguration } from "kelpspar-configuration";
import type { RequestContext } from "./request_context.ts";

/**
 * The stages of a request that must run at most once: those marked so, and
 * those at services whose calls may not be repeated. A request marked
 * non-idempotent through a pipeline that has neither acts by its answer, so
 * its last stage counts.
 */
export function onceStages(
  context: Pick<RequestContext, "pipeline" | "request">,
  services: ReadonlyMap<string, ServiceConfiguration>,
): ReadonlySet<string> {
  const stages = context.pipeline.stages;
  const once = stages.filter((stage) =>
    stage.effect === "once" || services.get(stage.service)?.repeatable === false
  );
  if (once.length > 0) return new Set(once.map((stage) => stage.id));
  const last = stages.at(-1);
  if (!context.request.nonIdempotent || last === undefined) return new Set();
  return new Set([last.id]);
}

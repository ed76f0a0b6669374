import type { ServiceConfiguration } from "kelpspar-configuration";
import type { RequestContext } from "./request_context.ts";

/**
 * Returns the ids of a request's stages that must run at most once: stages with
 * the effect `once`, and stages at services that are not repeatable. If a
 * request marked non-idempotent has neither, its answer itself is the effect,
 * so its last stage must run at most once.
 */
export function selectOnceStages(
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

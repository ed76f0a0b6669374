import type { ExperimentPipeline } from "./load_plan.ts";
import { engineAnswer } from "../../endpoint/engine/engine_answer.ts";
import { plainAnswer } from "../../endpoint/plain/plain_answer.ts";
import { MODEL, PIPELINE_SERVICES } from "../site/experiment_services.ts";

/**
 * Computes the complete answer text of a request, by applying each stage's
 * stand-in function to the output of the stage before.
 */
export function expectAnswer(
  pipeline: ExperimentPipeline,
  request: { readonly input: string; readonly tokens: number },
): string {
  return PIPELINE_SERVICES[pipeline].reduce(
    (input, service) =>
      service === "engine"
        ? engineAnswer(MODEL, input, request.tokens)
        : plainAnswer(service, input),
    request.input,
  );
}

import type { ExperimentPipeline } from "../load/load_plan.ts";

/** A service of the experiment sites. */
export type ExperimentService =
  | "encoder"
  | "retriever"
  | "reranker"
  | "engine"
  | "booking";

/** The only model of the engines. */
export const MODEL = "writer";
/** Version of `MODEL`. */
export const MODEL_VERSION = "1";

/** Services of each pipeline's stages; a stage is named after its service. */
export const PIPELINE_SERVICES: Readonly<
  Record<ExperimentPipeline, readonly ExperimentService[]>
> = {
  plan: ["encoder", "retriever", "reranker", "engine"],
  booking: ["encoder", "retriever", "reranker", "engine", "booking"],
  chat: ["engine"],
  order: ["booking"],
};

/** The only service whose calls must not be repeated. */
export const ONCE_SERVICE: ExperimentService = "booking";

/** All services; the booking pipeline uses each of them. */
export const SERVICES: readonly ExperimentService[] = PIPELINE_SERVICES.booking;

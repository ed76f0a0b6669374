import type { ExperimentPipeline } from "../load/load_plan.ts";

/** A service of the experiments' sites. */
export type ExperimentService =
  | "encoder"
  | "retriever"
  | "reranker"
  | "engine"
  | "booking";

/** The model of every generation. */
export const MODEL = "writer";
/** Its version. */
export const MODEL_VERSION = "1";

/** The service of each stage; a stage has the name of its service. */
export const PIPELINE_SERVICES: Readonly<
  Record<ExperimentPipeline, readonly ExperimentService[]>
> = {
  plan: ["encoder", "retriever", "reranker", "engine"],
  booking: ["encoder", "retriever", "reranker", "engine", "booking"],
  chat: ["engine"],
  order: ["booking"],
};

/** The one service whose calls may not be repeated. */
export const ONCE_SERVICE: ExperimentService = "booking";

/** Every service. */
export const SERVICES: readonly ExperimentService[] = PIPELINE_SERVICES.booking;

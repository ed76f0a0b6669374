import type { ChainReader } from "../placement/reader_place.ts";
import type { ChainRequest, ChainStage } from "../pieces/chain_request.ts";
import type { RequestRun } from "./request_run.ts";

/** The prompt that a model endpoint reads; undefined for plain services. */
export function createChainReader(run: RequestRun): ChainReader | undefined {
  const { dependencies, service, request } = run.options;
  const { table } = dependencies.configuration;
  const isModel = table?.findService(service)?.engineSlots !== undefined;
  if (!isModel) return undefined;
  const { promptParts } = request;
  return { service, promptParts, version: run.streamOrigin?.version };
}

/** The stages of the request's route, each with its number of pieces. */
export function createChainStages(run: RequestRun): readonly ChainStage[] {
  const { request, route } = run.options;
  return route.stages.map((stage, index) => ({
    service: stage.service,
    after: stage.after,
    resultBytes: stage.resultBytes,
    pieces: request.pieceCounts[index] ?? 0,
  }));
}

/** The chain that the coordinator runs for a request. */
export function createChainRequest(
  run: RequestRun,
  options: {
    readonly stages: readonly ChainStage[];
    readonly reader: ChainReader | undefined;
  },
): ChainRequest {
  const { request, route } = run.options;
  return {
    attemptId: request.attemptId ?? "",
    kind: route.name,
    pieceKey: request.pieceKey,
    stages: options.stages,
    remainingMilliseconds: run.remaining(),
    objectiveMilliseconds: run.remainingObjective(),
    reader: options.reader,
    tailMilliseconds: run.expectedFirstByte,
    priority: run.priority,
    earlierRunMilliseconds: run.earlierStagesMilliseconds,
  };
}

import type { ChainReader } from "../placement/reader_place.ts";
import type { ChainRequest, ChainStage } from "../pieces/chain_request.ts";
import type { RequestRun } from "./request_run.ts";

/** What a model endpoint will read; undefined for plain services. */
export function readerOf(run: RequestRun): ChainReader | undefined {
  const { parts, service, request } = run.options;
  const { table } = parts.configuration;
  const isModel = table?.findService(service)?.engineSlots !== undefined;
  return isModel ? { service, promptParts: request.promptParts } : undefined;
}

/** The stages of a request's route with the pieces that it has. */
export function stagesOf(run: RequestRun): readonly ChainStage[] {
  const { request, route } = run.options;
  return route.stages.map((stage, number) => ({
    service: stage.service,
    after: stage.after,
    resultBytes: stage.resultBytes,
    pieces: request.pieceCounts[number] ?? 0,
  }));
}

/** What the coordinator is asked for a request. */
export function chainOf(
  run: RequestRun,
  options: {
    readonly stages: readonly ChainStage[];
    readonly reader: ChainReader | undefined;
  },
): ChainRequest {
  const { request, route, parts } = run.options;
  return {
    attemptId: request.attemptId ?? "",
    kind: route.name,
    pieceKey: request.pieceKey,
    stages: options.stages,
    remainingMilliseconds: run.remaining(),
    objectiveMilliseconds: run.objectiveLeft(),
    reader: options.reader,
    tailMilliseconds: parts.times.of(route.name, route.kind === "stream"),
    priority: run.priority,
  };
}

import type { RequestContext } from "../requests/request_context.ts";

/** Creates the operator report of a request; omits the request's text. */
export function reportRequest(context: RequestContext): unknown {
  const { final } = context.log;
  return {
    requestId: context.requestId,
    account: context.account.id,
    pipeline: context.pipeline.id,
    state: final === undefined
      ? "running"
      : final.type === "end"
      ? "completed"
      : final.result,
    stages: [...context.traces.values()].map((trace) => ({
      stageId: trace.stageId,
      endpointId: trace.endpointId ?? "",
      attempts: trace.attempts,
      milliseconds: Math.round(trace.milliseconds),
      outcome: trace.outcome,
    })),
  };
}

import type { RequestContext } from "./request_context.ts";
import type { CheckedRequest } from "./check_request.ts";
import { sha256 } from "kelpspar-shared";
import { AnswerLog } from "./answer_log.ts";

/** Creates the context of a request that arrived at `options.now`. */
export function createContext(
  checked: CheckedRequest,
  options: {
    readonly requestId: string;
    readonly now: number;
    readonly onceStages: ReadonlySet<string>;
  },
): RequestContext {
  const { account, pipeline, request, priority } = checked;
  return {
    requestId: options.requestId,
    account,
    pipeline,
    request,
    priority,
    arrivedAt: options.now,
    deadlineAt: options.now + request.deadlineMilliseconds,
    bodyHash: sha256(
      JSON.stringify([request.pipeline, request.input, request.nonIdempotent]),
    ),
    onceStages: options.onceStages,
    log: new AnswerLog(),
    mayRunElsewhere: request.resubmission,
    abort: new AbortController(),
    expectedCallTeardowns: new Map(),
    traces: new Map(),
  };
}

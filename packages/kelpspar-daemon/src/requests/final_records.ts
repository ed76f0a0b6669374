import type { EndRecord, FailureRecord, KelpsparError } from "kelpspar-shared";
import type { StoredResult } from "kelpspar-decisions/claims";
import type { RequestContext } from "./request_context.ts";
import {
  extendChecksum,
  formatChecksum,
  toFailureRecord,
} from "kelpspar-shared";
import { costOf } from "./pipeline_runner.ts";

/** Creates the record that ends a complete answer. */
export function createEndRecord(
  context: RequestContext,
  now: number,
): EndRecord {
  context.log.complete();
  return {
    type: "end",
    requestId: context.requestId,
    length: context.log.length,
    checksum: context.log.checksum,
    cost: costOf(context),
    elapsedMilliseconds: now - context.arrivedAt,
  };
}

/** Creates the record that ends a request without a complete answer. */
export function createFailureRecord(
  context: RequestContext,
  error: KelpsparError,
): FailureRecord {
  return toFailureRecord(error, { requestId: context.requestId });
}

/** Creates the stored form of an answer, for retries with the same key. */
export function createStoredResult(
  context: RequestContext,
  options: { readonly text: string; readonly limit: number },
): StoredResult {
  const { text, limit } = options;
  const checksum = formatChecksum(extendChecksum(0, text));
  const length = text.length;
  if (text.length > limit) return { tooLarge: true, checksum, length };
  return { text, checksum, length, cost: costOf(context) };
}

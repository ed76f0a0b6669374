import type { EndRecord, FailureRecord, KelpsparError } from "kelpspar-shared";
import type { StoredResult } from "kelpspar-decisions/claims";
import type { RequestContext } from "./request_context.ts";
import {
  extendChecksum,
  formatChecksum,
  toFailureRecord,
} from "kelpspar-shared";
import { costOf } from "./pipeline_runner.ts";

/** The record that ends a whole answer. */
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

/** The record that ends a request without a whole answer. */
export function createFailureRecord(
  context: RequestContext,
  error: KelpsparError,
): FailureRecord {
  return toFailureRecord(error, { requestId: context.requestId });
}

/** What is kept of an answer for a retry. */
export function createStoredResult(
  context: RequestContext,
  kept: { readonly text: string; readonly limit: number },
): StoredResult {
  const { text, limit } = kept;
  const checksum = formatChecksum(extendChecksum(0, text));
  const length = text.length;
  if (text.length > limit) return { tooLarge: true, checksum, length };
  return { text, checksum, length, cost: costOf(context) };
}

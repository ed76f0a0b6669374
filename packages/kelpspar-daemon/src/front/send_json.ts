import type { FailureRecord, KelpsparError } from "kelpspar-shared";
import type { ServerResponse } from "node:http";
import { Buffer } from "node:buffer";
import { RESULT_CODES, toFailureRecord } from "kelpspar-shared";

const STATUS_OK = 200;

/** Sends a JSON response. */
export function sendJson(
  response: ServerResponse,
  body: unknown,
  status: number = STATUS_OK,
): void {
  if (response.headersSent || response.destroyed) return;
  const text = JSON.stringify(body);
  response.writeHead(status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(text),
  });
  response.end(text);
}

/** Sends an error as a failure record with the status of its result code. */
export function sendFailure(
  response: ServerResponse,
  error: KelpsparError,
  options: { readonly elsewhere?: readonly string[] } = {},
): void {
  sendFailureRecord(response, toFailureRecord(error, options));
}

/** Sends a failure record with the status of its result code. */
export function sendFailureRecord(
  response: ServerResponse,
  failure: FailureRecord,
): void {
  sendJson(response, failure, RESULT_CODES[failure.result].httpStatus);
}

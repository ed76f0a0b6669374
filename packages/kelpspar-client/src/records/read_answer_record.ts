import type { AnswerRecord } from "kelpspar-shared";
import { RESULT_CODES } from "kelpspar-shared";

type Fields = Readonly<Record<string, unknown>>;

const VALIDATORS: Readonly<Record<string, (fields: Fields) => boolean>> = {
  accepted: ({ requestId, daemon }) => isText(requestId) && isText(daemon),
  chunk: ({ offset, text }) => isCount(offset) && isText(text),
  end: (fields) =>
    isText(fields["requestId"]) && isCount(fields["length"]) &&
    isText(fields["checksum"]) && Array.isArray(fields["cost"]),
  failure: ({ result, outcome, retry, message }) =>
    isText(result) && Object.hasOwn(RESULT_CODES, result) &&
    isText(outcome) && isText(retry) && isText(message),
};

/**
 * Reads a record of an answer. Returns undefined for any other value: another
 * server may have taken over the address of a stopped daemon.
 */
export function readAnswerRecord(value: unknown): AnswerRecord | undefined {
  if (typeof value !== "object" || value === null) return undefined;
  const fields = value as Fields;
  const type = fields["type"];
  if (!isText(type) || !Object.hasOwn(VALIDATORS, type)) return undefined;
  return VALIDATORS[type]?.(fields) ? value as AnswerRecord : undefined;
}

function isText(value: unknown): value is string {
  return typeof value === "string";
}

function isCount(value: unknown): boolean {
  return Number.isSafeInteger(value) && Number(value) >= 0;
}

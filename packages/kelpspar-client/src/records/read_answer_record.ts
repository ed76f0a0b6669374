import type { AnswerRecord } from "kelpspar-shared";
import { RESULT_CODES } from "kelpspar-shared";

type Fields = Readonly<Record<string, unknown>>;

const SHAPES: Readonly<Record<string, (fields: Fields) => boolean>> = {
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
 * Reads a record of an answer. Undefined for anything else: whatever listens
 * at an address that a daemon has left may answer in its own way.
 */
export function readAnswerRecord(value: unknown): AnswerRecord | undefined {
  if (typeof value !== "object" || value === null) return undefined;
  const fields = value as Fields;
  const type = fields["type"];
  if (!isText(type) || !Object.hasOwn(SHAPES, type)) return undefined;
  return SHAPES[type]?.(fields) ? value as AnswerRecord : undefined;
}

function isText(value: unknown): value is string {
  return typeof value === "string";
}

function isCount(value: unknown): boolean {
  return Number.isSafeInteger(value) && Number(value) >= 0;
}

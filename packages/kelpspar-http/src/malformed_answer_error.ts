import type { BodyLimitReason } from "./body_limit_error.ts";

/** What is wrong with the bytes of a connection. */
export type MalformedReason =
  /** Many bytes, without the head of an answer or a part of its body. */
  | "no_progress"
  /** Many informational answers (1xx) instead of a final one. */
  | "informational_answers"
  /** A status that no final answer has. */
  | "odd_status"
  /** Many bytes after the end of the only answer. */
  | "surplus_bytes"
  | BodyLimitReason;

/** The connection was closed because of what the other side sent on it. */
export class MalformedAnswerError extends Error {
  override readonly name = "MalformedAnswerError";
  readonly reason: MalformedReason;

  constructor(reason: MalformedReason) {
    super(`Connection closed: its bytes are no answer (${reason})`);
    this.reason = reason;
  }
}

/** What a handler makes of a request. */
export type JsonReply =
  | { readonly kind: "answer"; readonly status: number; readonly body: unknown }
  /** No answer for now, or ever: the handler streams, or the stand-in hangs. */
  | { readonly kind: "none" }
  /** The connection is dropped without an answer. */
  | { readonly kind: "reset" };

/** An answer with `body` as JSON. */
export function answer(body: unknown, status = 200): JsonReply {
  return { kind: "answer", status, body };
}

/** No answer from here on. */
export const NO_REPLY: JsonReply = { kind: "none" };

/** Drops the connection. */
export const RESET: JsonReply = { kind: "reset" };

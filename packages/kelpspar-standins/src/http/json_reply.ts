/** The reply of a handler to a request. */
export type JsonReply =
  | { readonly kind: "answer"; readonly status: number; readonly body: unknown }
  /** The server sends nothing: the handler streams, or the stand-in hangs. */
  | { readonly kind: "none" }
  /** The connection is dropped without a response. */
  | { readonly kind: "reset" };

/** Creates a response with `body` as JSON. */
export function answer(body: unknown, status = 200): JsonReply {
  return { kind: "answer", status, body };
}

/** Leaves the response to the handler, or sends none. */
export const NO_REPLY: JsonReply = { kind: "none" };

/** Drops the connection. */
export const RESET: JsonReply = { kind: "reset" };

import type { IncomingMessage } from "node:http";

/** What determines the end of an answer's body (RFC 9112, section 6.3). */
export type BodyFraming =
  | "content_length"
  | "chunked"
  /** Any regular end of the connection ends the body. */
  | "close_delimited"
  | "no_body";

const BODYLESS_STATUSES: ReadonlySet<number | undefined> = new Set([204, 304]);

/** Determines the framing of an answer to a request with this method. */
export function bodyFraming(
  { headers, statusCode }: Pick<IncomingMessage, "headers" | "statusCode">,
  method: string,
): BodyFraming {
  if (method === "HEAD" || BODYLESS_STATUSES.has(statusCode)) return "no_body";
  if (headers["transfer-encoding"] !== undefined) return "chunked";
  if (headers["content-length"] !== undefined) return "content_length";
  return "close_delimited";
}

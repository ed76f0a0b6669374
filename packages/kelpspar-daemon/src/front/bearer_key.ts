import type { IncomingMessage } from "node:http";

const PREFIX = "Bearer ";

/** The bearer key of the `authorization` header; undefined without one. */
export function bearerKey(request: IncomingMessage): string | undefined {
  const header = request.headers.authorization;
  if (header === undefined || !header.startsWith(PREFIX)) return undefined;
  const key = header.slice(PREFIX.length);
  return key === "" ? undefined : key;
}

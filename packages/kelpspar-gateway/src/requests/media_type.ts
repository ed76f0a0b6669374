import { headerValue } from "../exchange/connection_headers.ts";

const EVENT_STREAM_TYPE = "text/event-stream";

/** Media type of an answer in lower case; undefined if it has none. */
export function mediaType(headers: readonly string[]): string | undefined {
  const value = headerValue(headers, "content-type");
  return value?.split(";", 1)[0]?.trim().toLowerCase();
}

export function isEventStream(headers: readonly string[]): boolean {
  return mediaType(headers) === EVENT_STREAM_TYPE;
}

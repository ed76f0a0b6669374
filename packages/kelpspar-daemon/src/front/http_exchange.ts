import type { IncomingMessage, ServerResponse } from "node:http";

/** One HTTP request and its response, with the parts of the path it matched. */
export interface HttpExchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly url: URL;
  /** The named parts of the path, decoded. */
  readonly parameters: Readonly<Record<string, string>>;
}

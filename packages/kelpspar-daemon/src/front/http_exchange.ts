import type { IncomingMessage, ServerResponse } from "node:http";

/** An HTTP request and its response, with the parameters of its path. */
export interface HttpExchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly url: URL;
  /** The named path parameters, decoded. */
  readonly parameters: Readonly<Record<string, string>>;
}

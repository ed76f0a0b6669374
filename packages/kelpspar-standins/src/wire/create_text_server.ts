import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { createServer } from "node:http";
import { readTextBody } from "../http/read_json_body.ts";

/** Takes one request whose body has come whole. */
export type TextRequestHandler = (
  message: IncomingMessage,
  text: string,
  response: ServerResponse,
) => void;

/** Creates a server that reads bodies whole. */
export function createTextServer(handle: TextRequestHandler): Server {
  return createServer((message, response) => {
    readTextBody(message).then(
      (text) => handle(message, text, response),
      // The daemon closed its connection; there is nobody to answer.
      () => response.destroy(),
    );
  });
}

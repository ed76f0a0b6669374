import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { createServer } from "node:http";
import { readTextBody } from "../http/read_json_body.ts";

/** Handles one request after its whole body was received. */
export type TextRequestHandler = (
  message: IncomingMessage,
  text: string,
  response: ServerResponse,
) => void;

/** Creates a server that buffers each request body as text. */
export function createTextServer(handle: TextRequestHandler): Server {
  return createServer((message, response) => {
    readTextBody(message).then(
      (text) => handle(message, text, response),
      // The daemon closed its connection, so no response can be sent.
      () => response.destroy(),
    );
  });
}

import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { ServerTimes } from "./create_timed_server.ts";
import { KelpsparError } from "kelpspar-shared";
import { createTimedServer } from "./create_timed_server.ts";
import { describeRefusal } from "./describe_refusal.ts";
import { discardBody } from "./discard_body.ts";

/** Time for a whole request to arrive, milliseconds. */
const REQUEST_TIMEOUT_MILLISECONDS = 5_000;
/** Limits of a body, which no page reads. */
const MAXIMUM_BODY_BYTES = 64 * 1024;
const MAXIMUM_BODY_MILLISECONDS = 1_000;

/** Answer of a text page. */
export interface TextAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly text: string;
}

/** Answers GET requests by path and query; undefined is a 404. */
export type TextHandler = (
  path: string,
  query: URLSearchParams,
) => Promise<TextAnswer | undefined> | TextAnswer | undefined;

/** Origin of targets that name none; it is ignored. */
const ORIGIN = "http://daemon";
const NOT_FOUND: TextAnswer = {
  status: 404,
  contentType: "text/plain",
  text: "Not found\n",
};

/**
 * Creates a server of text pages; a path that is none of a URL is a 400. The
 * connection of a request with a body is closed after its answer.
 */
export function createTextServer(
  handler: TextHandler,
  times: ServerTimes = {},
): Server {
  return createTimedServer((message, response) => {
    respond(message, response, handler).catch(() => response.destroy());
  }, { requestMilliseconds: REQUEST_TIMEOUT_MILLISECONDS, ...times });
}

async function respond(
  message: IncomingMessage,
  response: ServerResponse,
  handler: TextHandler,
): Promise<void> {
  const discarded = hasBody(message)
    ? discardBody(message, {
      maximumBytes: MAXIMUM_BODY_BYTES,
      maximumMilliseconds: MAXIMUM_BODY_MILLISECONDS,
    })
    : undefined;
  if (discarded === undefined) message.resume();
  const { status, contentType, text } = await answer(
    message.url ?? "/",
    handler,
  );
  const headers = {
    "Content-Type": contentType,
    "Content-Length": Buffer.byteLength(text),
  };
  if (discarded === undefined) {
    response.writeHead(status, headers).end(text);
    return;
  }
  // The end closes the connection, which would reset it while the body arrives.
  response.writeHead(status, { ...headers, Connection: "close" }).write(text);
  await discarded;
  response.end();
}

function hasBody({ headers }: IncomingMessage): boolean {
  return headers["transfer-encoding"] !== undefined ||
    Number(headers["content-length"] ?? 0) > 0;
}

async function answer(
  target: string,
  handler: TextHandler,
): Promise<TextAnswer> {
  if (!URL.canParse(target, ORIGIN)) {
    const { status, message } = describeRefusal(
      new KelpsparError("malformed_request", "the request names no path"),
    );
    return { status, contentType: "text/plain", text: `${message}\n` };
  }
  const { pathname, searchParams } = new URL(target, ORIGIN);
  return await handler(pathname, searchParams) ?? NOT_FOUND;
}

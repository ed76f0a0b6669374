import type { Server } from "node:http";
import { KelpsparError } from "kelpspar-shared";
import { createServer } from "node:http";
import { describeRefusal } from "./describe_refusal.ts";

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

/** Creates a server of text pages; a path that is none of a URL is a 400. */
export function createTextServer(handler: TextHandler): Server {
  return createServer((message, response) => {
    message.resume();
    answer(message.url ?? "/", handler)
      .then(({ status, contentType, text }) => {
        response.writeHead(status, { "Content-Type": contentType });
        response.end(text);
      })
      .catch(() => response.destroy());
  });
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

import type { Server } from "node:http";
import { createServer } from "node:http";

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

const NOT_FOUND: TextAnswer = {
  status: 404,
  contentType: "text/plain",
  text: "Not found\n",
};

/** Creates a server of text pages. */
export function createTextServer(handler: TextHandler): Server {
  return createServer((message, response) => {
    message.resume();
    const url = new URL(message.url ?? "/", "http://daemon");
    void Promise.resolve(handler(url.pathname, url.searchParams))
      .then((found) => found ?? NOT_FOUND)
      .then(({ status, contentType, text }) => {
        response.writeHead(status, { "Content-Type": contentType });
        response.end(text);
      })
      .catch(() => response.destroy());
  });
}

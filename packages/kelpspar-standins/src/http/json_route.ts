import type { JsonReply } from "./json_reply.ts";
import type { ServerResponse } from "node:http";

/** A request whose body was read whole. */
export interface JsonRequest {
  /** The decoded path parts that stood for `*`. */
  readonly parameters: readonly string[];
  readonly query: URLSearchParams;
  /** Undefined when the request had no body. */
  readonly body: unknown;
  /** For handlers that stream their answer. */
  readonly response: ServerResponse;
}

/** Handles the requests of one route. */
export type JsonHandler = (
  request: JsonRequest,
) => JsonReply | Promise<JsonReply>;

/** One entry of a server's routing table. */
export interface JsonRoute {
  readonly method: "GET" | "POST" | "PUT" | "DELETE";
  /** A path in which `*` stands for any one part. */
  readonly path: string;
  readonly handler: JsonHandler;
}

/** A route that fits a request. */
export interface RouteMatch {
  readonly route: JsonRoute;
  readonly parameters: readonly string[];
}

/** The first route that fits; undefined when there is none. */
export function matchRoute(
  routes: readonly JsonRoute[],
  request: { readonly method: string; readonly path: string },
): RouteMatch | undefined {
  for (const route of routes) {
    if (route.method !== request.method) continue;
    const parameters = matchPath(route.path, request.path);
    if (parameters !== undefined) return { route, parameters };
  }
  return undefined;
}

function matchPath(pattern: string, path: string): string[] | undefined {
  const wanted = pattern.split("/");
  const given = path.split("/");
  if (wanted.length !== given.length) return undefined;
  const parameters: string[] = [];
  for (const [index, part] of wanted.entries()) {
    const text = given[index] ?? "";
    if (part === "*") parameters.push(decodeURIComponent(text));
    else if (part !== text) return undefined;
  }
  return parameters;
}

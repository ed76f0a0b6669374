import type { JsonReply } from "./json_reply.ts";
import type { ServerResponse } from "node:http";

/** A request whose body was read completely. */
export interface JsonRequest {
  /** The decoded path segments matched by `*`. */
  readonly parameters: readonly string[];
  readonly query: URLSearchParams;
  /** Undefined when the request had no body. */
  readonly body: unknown;
  /** For handlers that stream their response. */
  readonly response: ServerResponse;
}

/** Handles the requests of one route. */
export type JsonHandler = (
  request: JsonRequest,
) => JsonReply | Promise<JsonReply>;

/** One entry of a server's routing table. */
export interface JsonRoute {
  readonly method: "GET" | "POST" | "PUT" | "DELETE";
  /** A path in which `*` matches any single part. */
  readonly path: string;
  readonly handler: JsonHandler;
}

/** A route that matches a request. */
export interface RouteMatch {
  readonly route: JsonRoute;
  readonly parameters: readonly string[];
}

/** Finds the first matching route, if any. */
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
  const patternParts = pattern.split("/");
  const pathParts = path.split("/");
  if (patternParts.length !== pathParts.length) return undefined;
  const parameters: string[] = [];
  for (const [index, part] of patternParts.entries()) {
    const text = pathParts[index] ?? "";
    if (part === "*") parameters.push(decodeURIComponent(text));
    else if (part !== text) return undefined;
  }
  return parameters;
}

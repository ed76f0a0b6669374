import type { HttpExchange } from "./http_exchange.ts";
import type { Route } from "./route.ts";
import { KelpsparError } from "kelpspar-shared";

interface CompiledRoute {
  readonly route: Route;
  readonly segments: readonly string[];
}

/** The route of a request and the parameters of its path. */
export interface RouteMatch {
  readonly route: Route;
  readonly parameters: HttpExchange["parameters"];
}

/** Matches requests to routes by method and path. */
export class Router {
  readonly #routes: readonly CompiledRoute[];

  constructor(routes: readonly Route[]) {
    this.#routes = routes.map((route) => ({
      route,
      segments: route.path.split("/"),
    }));
  }

  /** Throws `unknown_path` or `method_not_allowed`. */
  match(method: string, path: string): RouteMatch {
    const segments = path.split("/");
    let isPathKnown = false;
    for (const compiled of this.#routes) {
      const parameters = matchSegments(compiled.segments, segments);
      if (parameters === undefined) continue;
      isPathKnown = true;
      if (compiled.route.method === method) {
        return { route: compiled.route, parameters };
      }
    }
    if (isPathKnown) {
      throw new KelpsparError(
        "method_not_allowed",
        `"${path}" does not take method "${method}"`,
      );
    }
    throw new KelpsparError("unknown_path", `There is no "${path}"`);
  }
}

function matchSegments(
  pattern: readonly string[],
  segments: readonly string[],
): Readonly<Record<string, string>> | undefined {
  if (pattern.length !== segments.length) return undefined;
  const parameters: Record<string, string> = {};
  for (const [index, expected] of pattern.entries()) {
    const part = segments[index] ?? "";
    if (expected.startsWith(":")) {
      const decoded = decodeSegment(part);
      if (decoded === undefined) return undefined;
      parameters[expected.slice(1)] = decoded;
    } else if (expected !== part) {
      return undefined;
    }
  }
  return parameters;
}

function decodeSegment(part: string): string | undefined {
  try {
    return decodeURIComponent(part);
  } catch {
    return undefined;
  }
}

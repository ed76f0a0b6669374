import type { HttpExchange } from "./http_exchange.ts";
import type { Route } from "./route.ts";
import { KelpsparError } from "kelpspar-shared";

interface CompiledRoute {
  readonly route: Route;
  readonly parts: readonly string[];
}

/** A route that answers an exchange. */
export interface RouteMatch {
  readonly route: Route;
  readonly parameters: HttpExchange["parameters"];
}

/** Finds the route of a method and path. */
export class Router {
  readonly #routes: readonly CompiledRoute[];

  constructor(routes: readonly Route[]) {
    this.#routes = routes.map((route) => ({
      route,
      parts: route.path.split("/"),
    }));
  }

  /** Throws `unknown_path` or `method_not_allowed`. */
  match(method: string, path: string): RouteMatch {
    const parts = path.split("/");
    let isPathKnown = false;
    for (const compiled of this.#routes) {
      const parameters = matchParts(compiled.parts, parts);
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

function matchParts(
  pattern: readonly string[],
  parts: readonly string[],
): Readonly<Record<string, string>> | undefined {
  if (pattern.length !== parts.length) return undefined;
  const parameters: Record<string, string> = {};
  for (const [index, expected] of pattern.entries()) {
    const part = parts[index] ?? "";
    if (expected.startsWith(":")) {
      const decoded = decodePart(part);
      if (decoded === undefined) return undefined;
      parameters[expected.slice(1)] = decoded;
    } else if (expected !== part) {
      return undefined;
    }
  }
  return parameters;
}

function decodePart(part: string): string | undefined {
  try {
    return decodeURIComponent(part);
  } catch {
    return undefined;
  }
}

import type { JsonRoute } from "../http/json_route.ts";
import { answer } from "../http/json_reply.ts";

const STATUS_NOT_FOUND = 404;

/** The object store's HTTP protocol, backed by a map (docs/PLATFORM.md). */
export function createObjectRoutes(
  objects: Map<string, string>,
): readonly JsonRoute[] {
  return [
    {
      method: "PUT",
      path: "/v1/objects/*",
      handler: ({ parameters, body }) => {
        const { content } = body as { readonly content: string };
        objects.set(parameters[0] ?? "", content);
        return answer({});
      },
    },
    {
      method: "GET",
      path: "/v1/objects/*",
      handler: ({ parameters }) => {
        const content = objects.get(parameters[0] ?? "");
        if (content !== undefined) return answer({ content });
        return answer({ error: "No such object" }, STATUS_NOT_FOUND);
      },
    },
  ];
}

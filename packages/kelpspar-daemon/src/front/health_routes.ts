import type { Route } from "./route.ts";
import { KelpsparError } from "kelpspar-shared";
import { sendJson } from "./send_json.ts";

/** The routes by which a supervisor sees whether the daemon works. */
export function createHealthRoutes(options: {
  /** Why the daemon takes no requests; undefined while it does. */
  readonly notReadyReason: () => "draining" | "no_configuration" | undefined;
}): readonly Route[] {
  return [
    {
      method: "GET",
      path: "/v1/health",
      handle: async ({ response }) => sendJson(response, { healthy: true }),
    },
    {
      method: "GET",
      path: "/v1/ready",
      handle: async ({ response }) => {
        const reason = options.notReadyReason();
        if (reason !== undefined) {
          throw new KelpsparError(reason, "The daemon takes no requests");
        }
        sendJson(response, { ready: true });
      },
    },
  ];
}

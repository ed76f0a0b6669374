import type { Route } from "./route.ts";
import { KelpsparError } from "kelpspar-shared";
import { sendJson } from "./send_json.ts";

/** Creates the liveness and readiness routes for a supervisor. */
export function createHealthRoutes(options: {
  /** Why the daemon accepts no requests; undefined while it does. */
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

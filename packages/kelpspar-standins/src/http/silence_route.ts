import type { JsonRoute } from "./json_route.ts";
import type { JsonServer } from "./json_server.ts";
import { answer } from "./json_reply.ts";

/**
 * Creates the route that silences all open connections except its own. `server`
 * is a function because the routes are created before the server.
 */
export function createSilenceRoute(server: () => JsonServer): JsonRoute {
  return {
    method: "POST",
    path: "/control/silence",
    handler: ({ response }) => {
      server().silence(response.socket);
      return answer({});
    },
  };
}

import type { JsonRoute } from "./json_route.ts";
import type { JsonServer } from "./json_server.ts";
import { answer } from "./json_reply.ts";

/**
 * The route that silences every open connection but the one that carries it.
 * `server` is asked for late, since the routes exist before it does.
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

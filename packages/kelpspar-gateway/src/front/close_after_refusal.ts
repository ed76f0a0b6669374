import type { IncomingMessage, ServerResponse } from "node:http";
import { discardBody } from "./discard_body.ts";

/**
 * Closes a connection after its refusal was sent, before the whole request has
 * arrived. What still arrives is discarded: closing at once would reset the
 * connection, and the caller would lose the refusal.
 */
export function closeAfterRefusal(
  message: IncomingMessage,
  response: ServerResponse,
): void {
  const { socket } = message;
  response.once("finish", () => socket.end());
  message.once("end", () => socket.destroySoon());
  void discardBody(message);
}

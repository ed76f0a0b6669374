import type { IncomingMessage } from "node:http";

/**
 * Calls `onPart` with each part of a body that the parser adds to a message,
 * whether or not the message is being read.
 */
export function watchBody(
  message: IncomingMessage,
  onPart: (part: Uint8Array) => void,
): void {
  const push = message.push.bind(message);
  message.push = (chunk, encoding): boolean => {
    if (chunk !== null) onPart(chunk);
    return push(chunk, encoding);
  };
}

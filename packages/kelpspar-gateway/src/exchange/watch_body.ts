import type { IncomingMessage } from "node:http";

/**
 * Calls `onPart` for each part of a body that the parser adds to a message,
 * whether or not the message is being read.
 */
export function watchBody(message: IncomingMessage, onPart: () => void): void {
  const push = message.push.bind(message);
  message.push = (chunk, encoding): boolean => {
    if (chunk !== null) onPart();
    return push(chunk, encoding);
  };
}

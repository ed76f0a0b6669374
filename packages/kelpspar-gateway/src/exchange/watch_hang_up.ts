import type { Socket } from "node:net";

/**
 * Tells when a connection ends in the same turn of the event loop in which
 * bytes came. libuv ends a stream that was hung up behind a partial read
 * without asking for its error, so that a reset looks like a proper end; a
 * proper end by itself is read in a later turn.
 */
export function watchHangUp(socket: Socket, onHangUp: () => void): void {
  let hasBytes = false;
  socket.prependListener("data", () => {
    if (hasBytes) return;
    hasBytes = true;
    setImmediate(() => {
      hasBytes = false;
    });
  });
  socket.prependListener("end", () => {
    if (hasBytes) onHangUp();
  });
}

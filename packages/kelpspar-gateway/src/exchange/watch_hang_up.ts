import type { Socket } from "node:net";

/**
 * Calls `onHangUp` when a connection ends in the same event loop turn in which
 * bytes arrived. libuv ends a stream that was hung up after a partial read
 * without checking for an error, so that a reset looks like a regular end. A
 * regular end is read in a later turn.
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

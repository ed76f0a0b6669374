import type { DaemonProcess } from "../wire/daemon_process.ts";
import { get } from "node:http";

const TIMEOUT_MILLISECONDS = 2_000;

/**
 * Measures how long a daemon takes to say whether it is ready, which needs no
 * work: what a busy machine adds to each of its answers. 0 if it doesn't say.
 */
export function timeReadyAnswer({ ready }: DaemonProcess): Promise<number> {
  const sentAt = performance.now();
  return new Promise((resolve) => {
    const request = get(
      `http://${ready}/-/ready`,
      { agent: false, timeout: TIMEOUT_MILLISECONDS },
      (response) => {
        response.resume();
        response.on("error", () => {});
        resolve(performance.now() - sentAt);
      },
    );
    request.on("timeout", () => request.destroy());
    request.on("error", () => resolve(0));
  });
}

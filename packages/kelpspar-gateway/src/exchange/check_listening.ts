import type { TimerService } from "kelpspar-shared";
import { parseHost } from "kelpspar-shared";
import { connect } from "node:net";

/** Whether a process listens at an address; `unknown` if undetermined. */
export type ListeningState = "listening" | "refused" | "unknown";

/** Options of `checkListening`. */
export interface CheckListeningOptions {
  /** `address:port`. */
  readonly address: string;
  /** Connect timeout, milliseconds. */
  readonly connectTimeoutMilliseconds: number;
  readonly timer: TimerService;
}

/** Opens a connection and closes it at once; never throws. */
export function checkListening(
  options: CheckListeningOptions,
): Promise<ListeningState> {
  const { address: host, port } = parseHost(options.address);
  return new Promise((resolve) => {
    const socket = connect({ host, port });
    const end = (state: ListeningState): void => {
      stopTimer();
      socket.destroy();
      resolve(state);
    };
    // After the process was busy, both the timeout and the connection may be
    // due; the second timer lets the connection come first.
    let stopTimer = options.timer.registerTimeout(() => {
      stopTimer = options.timer.registerTimeout(() => end("unknown"), 0);
    }, options.connectTimeoutMilliseconds);
    socket.once("connect", () => end("listening"));
    socket.once("error", (error: NodeJS.ErrnoException) => {
      end(error.code === "ECONNREFUSED" ? "refused" : "unknown");
    });
  });
}

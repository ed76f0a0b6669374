import type { TimerService } from "kelpspar-shared";
import { parseHost } from "kelpspar-shared";
import { connect } from "node:net";

/** Whether a process listens at an address; `unknown` when nothing tells. */
export type ListeningState = "listening" | "refused" | "unknown";

/** What is checked. */
export interface CheckListeningOptions {
  /** `address:port`. */
  readonly address: string;
  /** How long a connection may take to come about, milliseconds. */
  readonly limitMilliseconds: number;
  readonly timer: TimerService;
}

/** Opens a connection and closes it again; never throws. */
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
    const stopTimer = options.timer.registerTimeout(
      () => end("unknown"),
      options.limitMilliseconds,
    );
    socket.once("connect", () => end("listening"));
    socket.once("error", (error: NodeJS.ErrnoException) => {
      end(error.code === "ECONNREFUSED" ? "refused" : "unknown");
    });
  });
}

import type { DaemonProcess } from "../wire/daemon_process.ts";
import { request as sendHttpRequest } from "node:http";
import { setTimeout as setTimeoutPromise } from "node:timers/promises";
import { callerHeaders } from "../wire/caller_headers.ts";

const ANSWER_MILLISECONDS = 5_000;
const RETRY_MILLISECONDS = 100;
const SERVED_STATUS = 200;
const BODY = "body";

/** What an ordinary client asks a daemon for. */
export type AskedFor = "request" | "directory" | "ready";

/** Options of `askDaemon`. */
export interface AskDaemonOptions {
  readonly daemon: DaemonProcess;
  readonly host: string;
  readonly asked: AskedFor;
  /** Further attempts are made for this time. */
  readonly milliseconds: number;
  /** Whether the answer isn't needed any more. */
  readonly isOver: () => boolean;
}

interface Target {
  readonly address: string;
  readonly path: string;
  readonly body?: string;
}

let attempts = 0;

/**
 * Asks a daemon, on a new connection each time, until it answers 200. Resolves
 * to what came instead of that, or undefined.
 */
export async function askDaemon(
  { daemon, host, asked, milliseconds, isOver }: AskDaemonOptions,
): Promise<string | undefined> {
  const targets: Readonly<Record<AskedFor, Target>> = {
    request: { address: daemon.front, path: "/once/x", body: BODY },
    directory: {
      address: daemon.directory,
      path: "/-/resolve?name=x&region=r&zone=a",
    },
    ready: { address: daemon.ready, path: "/-/ready" },
  };
  const until = performance.now() + milliseconds;
  for (;;) {
    const rest = until - performance.now();
    const outcome = await send(targets[asked], {
      host,
      milliseconds: Math.max(1, Math.min(rest, ANSWER_MILLISECONDS)),
    });
    if (outcome === String(SERVED_STATUS)) return undefined;
    const isLate = performance.now() + RETRY_MILLISECONDS >= until;
    if (isLate || isOver()) return outcome;
    await setTimeoutPromise(RETRY_MILLISECONDS);
  }
}

function send(
  { address, path, body }: Target,
  { host, milliseconds }: {
    readonly host: string;
    readonly milliseconds: number;
  },
): Promise<string> {
  const [hostname = "", port = ""] = address.split(":");
  return new Promise((resolve) => {
    const request = sendHttpRequest({
      hostname,
      port,
      path,
      agent: false,
      method: body === undefined ? "GET" : "POST",
      signal: AbortSignal.timeout(Math.ceil(milliseconds)),
      headers: body === undefined ? {} : {
        host,
        ...callerHeaders({
          attemptId: `ordinary-${attempts++}`,
          deadlineMilliseconds: ANSWER_MILLISECONDS,
        }),
        "content-length": body.length,
      },
    });
    const fail = (error: Error): void => {
      const { code = error.message } = error as { readonly code?: string };
      resolve(code === "ABORT_ERR" ? "no answer" : code);
    };
    request.on("error", fail);
    request.on("response", (response) => {
      response.on("error", fail);
      response.on("end", () => resolve(String(response.statusCode)));
      response.resume();
    });
    request.end(body);
  });
}

import type { AnyTRPCRouter, inferRouterContext } from "@trpc/server";
import type {
  BodyFailure,
  CallerBudget,
  ReceiveBodyOptions,
} from "kelpspar-http";
import type {
  IncomingMessage,
  RequestListener,
  ServerResponse,
} from "node:http";
import {
  callTRPCProcedure,
  getTRPCErrorFromUnknown,
  getTRPCErrorShape,
  TRPCError,
} from "@trpc/server";
import { getHTTPStatusCodeFromError } from "@trpc/server/http";
import { receiveBody } from "kelpspar-http";
import { DiscardLimit } from "./discard_limit.ts";

/** Options of `createRouterListener`. */
export interface RouterListenerOptions<Router extends AnyTRPCRouter> {
  readonly router: Router;
  /** Path of the router. */
  readonly path: string;
  /** Maximum size of an input, in bytes. */
  readonly maximumBodyBytes: number;
  /** Bounds the inputs that are held at the same time. */
  readonly budget: CallerBudget;
  readonly createContext: (
    message: IncomingMessage,
    response: ServerResponse,
  ) => inferRouterContext<Router>;
}

const STATUS_OK = 200;
const FAILURES: Readonly<Record<BodyFailure, () => Error>> = {
  no_memory: () => new TRPCError({ code: "SERVICE_UNAVAILABLE" }),
  too_slow: () => new TRPCError({ code: "TIMEOUT" }),
  too_large: () => new TRPCError({ code: "PAYLOAD_TOO_LARGE" }),
  cut: () => new Error("The caller disconnected"),
};

/**
 * Serves a tRPC router to `createPeerLink`, directly on `node:http`. tRPC's
 * adapters would create a web request, a response and streams for each call.
 */
export function createRouterListener<Router extends AnyTRPCRouter>(
  options: RouterListenerOptions<Router>,
): RequestListener {
  return (message, response) => void respond(options, message, response);
}

async function respond<Router extends AnyTRPCRouter>(
  options: RouterListenerOptions<Router>,
  message: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const procedure = parseProcedure(message, options.path);
  try {
    const context = options.createContext(message, response);
    const input = await readInput(message, {
      maximumBytes: options.maximumBodyBytes,
      budget: options.budget,
    });
    const data: unknown = await callTRPCProcedure({
      router: options.router,
      path: procedure,
      type: "mutation",
      allowMethodOverride: true,
      ctx: context,
      input,
      getRawInput: () => Promise.resolve(input),
      signal: undefined,
      batchIndex: 0,
    });
    send(response, STATUS_OK, { result: { data } });
  } catch (cause) {
    const error = getTRPCErrorFromUnknown(cause);
    const shape = getTRPCErrorShape({
      config: options.router._def._config,
      error,
      type: "mutation",
      path: procedure,
      input: undefined,
      ctx: undefined,
    });
    send(response, getHTTPStatusCodeFromError(error), { error: shape });
  }
}

function parseProcedure(message: IncomingMessage, path: string): string {
  const target = (message.url ?? "").split("?", 1)[0] ?? "";
  return target.startsWith(`${path}/`) ? target.slice(path.length + 1) : "";
}

async function readInput(
  message: IncomingMessage,
  options: ReceiveBodyOptions,
): Promise<unknown> {
  const body = await receiveBody(message, options);
  if (typeof body === "string") {
    discardRest(message, options.maximumBytes);
    throw FAILURES[body]();
  }
  try {
    const input: unknown = JSON.parse(body.bytes.toString("utf8"));
    return input ?? undefined;
  } catch (cause) {
    throw new TRPCError({ code: "PARSE_ERROR", cause });
  } finally {
    body.release();
  }
}

/** Closes the connection if the caller sends on and on after its response. */
function discardRest(message: IncomingMessage, maximumBytes: number): void {
  const limit = new DiscardLimit(maximumBytes);
  message.on("data", (chunk: Buffer) => {
    limit.add(chunk);
    if (limit.isExceeded) message.destroy();
  });
}

function send(response: ServerResponse, status: number, value: object): void {
  if (response.destroyed) return;
  const text = JSON.stringify(value);
  response.writeHead(status, {
    "Content-Type": "application/json",
    "Content-Length": Buffer.byteLength(text),
  });
  response.end(text);
}

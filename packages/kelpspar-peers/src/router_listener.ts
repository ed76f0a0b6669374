import type { AnyTRPCRouter, inferRouterContext } from "@trpc/server";
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

/** What a listener answers with. */
export interface RouterListenerOptions<Router extends AnyTRPCRouter> {
  readonly router: Router;
  /** Path under which it answers. */
  readonly path: string;
  /** Largest input, bytes. */
  readonly maximumBodyBytes: number;
  readonly createContext: (
    message: IncomingMessage,
    response: ServerResponse,
  ) => inferRouterContext<Router>;
}

const SUCCESS = 200;

/**
 * Answers calls of `createPeerLink` by a tRPC router, straight from node:http.
 * tRPC's adapters make web requests, responses and streams of each call.
 */
export function createRouterListener<Router extends AnyTRPCRouter>(
  options: RouterListenerOptions<Router>,
): RequestListener {
  return (message, response) => void answer(options, message, response);
}

async function answer<Router extends AnyTRPCRouter>(
  options: RouterListenerOptions<Router>,
  message: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const procedure = procedureOf(message, options.path);
  try {
    const context = options.createContext(message, response);
    const input = await readInput(message, options.maximumBodyBytes);
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
    send(response, SUCCESS, { result: { data } });
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

function procedureOf(message: IncomingMessage, path: string): string {
  const target = (message.url ?? "").split("?", 1)[0] ?? "";
  return target.startsWith(`${path}/`) ? target.slice(path.length + 1) : "";
}

async function readInput(
  message: IncomingMessage,
  maximumBytes: number,
): Promise<unknown> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  // An answer still goes out when the rest of the input isn't read.
  const read = message.iterator({ destroyOnReturn: false });
  for await (const chunk of read as AsyncIterable<Buffer>) {
    bytes += chunk.length;
    if (bytes > maximumBytes) {
      throw new TRPCError({ code: "PAYLOAD_TOO_LARGE" });
    }
    chunks.push(chunk);
  }
  try {
    const input: unknown = JSON.parse(Buffer.concat(chunks).toString("utf8"));
    return input ?? undefined;
  } catch (cause) {
    throw new TRPCError({ code: "PARSE_ERROR", cause });
  }
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

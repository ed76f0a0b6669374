import type { AnyTRPCRouter } from "@trpc/server";
import type { TRPCLink } from "@trpc/client";
import type { BodyTimeLimit } from "kelpspar-http";
import type { Agent } from "undici";
import { TRPCClientError } from "@trpc/client";
import { BodyLimitError, readBody } from "kelpspar-http";
import { observable } from "@trpc/server/observable";

/** Options of `createPeerLink`. */
export interface PeerLinkOptions {
  /** Scheme, address and port. */
  readonly origin: string;
  /** Path of the peer's router. */
  readonly path: string;
  readonly agent: Agent;
  /** Headers of each call. */
  readonly headers?: Readonly<Record<string, string>>;
  /** Time from the head of an answer to its end; by default none. */
  readonly bodyTime?: BodyTimeLimit | undefined;
  /** Called when an answer exceeds a limit; by default nothing happens. */
  readonly onBodyLimit?: ((error: BodyLimitError) => void) | undefined;
}

type Envelope = Parameters<typeof TRPCClientError.from>[0];

/**
 * Creates a tRPC link over the connections of one agent. tRPC's own link uses
 * `fetch`, whose streams and signals cost several times as much as a small
 * call between daemons itself.
 */
export function createPeerLink<Router extends AnyTRPCRouter>(
  options: PeerLinkOptions,
): TRPCLink<Router> {
  return () => ({ op }) =>
    observable((observer) => {
      call(options, op).then(
        (envelope) => {
          if ("error" in envelope) {
            observer.error(TRPCClientError.from(envelope as Envelope));
          } else {
            // The value settles the call, so no `complete` is needed.
            observer.next({
              result: { type: "data", data: envelope.result.data },
            });
          }
        },
        (cause: unknown) =>
          observer.error(TRPCClientError.from(toError(cause))),
      );
    });
}

interface Operation {
  readonly path: string;
  readonly input: unknown;
  readonly signal: AbortSignal | null | undefined;
}

type PeerEnvelope =
  | { readonly result: { readonly data: unknown } }
  | { readonly error: unknown };

async function call(
  { origin, path, agent, headers, bodyTime, onBodyLimit }: PeerLinkOptions,
  { path: procedure, input, signal }: Operation,
): Promise<PeerEnvelope> {
  const { body } = await agent.request({
    origin,
    path: `${path}/${procedure}`,
    method: "POST",
    headers: { ...headers, "content-type": "application/json" },
    body: JSON.stringify(input ?? null),
    signal: signal ?? null,
  });
  const bytes = await readBody(body, { time: bodyTime }).catch(
    (error: unknown) => {
      if (error instanceof BodyLimitError) onBodyLimit?.(error);
      throw error;
    },
  );
  const envelope: unknown = JSON.parse(bytes.toString("utf8"));
  if (isEnvelope(envelope)) return envelope;
  throw new Error(
    `Peer ${origin} gave an answer that is none of tRPC's`,
  );
}

function isEnvelope(value: unknown): value is PeerEnvelope {
  if (typeof value !== "object" || value === null) return false;
  if ("error" in value) return true;
  if (!("result" in value)) return false;
  return typeof value.result === "object" && value.result !== null;
}

function toError(cause: unknown): Error {
  return cause instanceof Error ? cause : new Error(String(cause));
}

import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";

/** A connection that a caller has opened. */
export interface CallerConnection {
  readonly socket: Socket;
  readonly remoteAddress: string;
  /** Requests whose response isn't finished. */
  openRequests: number;
  /** The latest request while it is open or hasn't arrived whole. */
  latest: IncomingMessage | undefined;
  /** Whether a whole request has arrived. */
  hasSentRequest: boolean;
}

/** What a connection does, as far as it may be closed for another one. */
export type ConnectionUse = "silent" | "kept" | "sending" | "served";

/** Tells whether a connection waits for a request, sends one or is served. */
export function useOf(connection: CallerConnection): ConnectionUse {
  const { openRequests, latest, hasSentRequest } = connection;
  const isWhole = latest?.complete === true;
  if (openRequests === 0) return hasSentRequest || isWhole ? "kept" : "silent";
  return openRequests === 1 && !isWhole ? "sending" : "served";
}

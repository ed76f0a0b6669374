import type { TimerService } from "kelpspar-shared";
import type { ConfigurationRow } from "../configuration/configuration_row.ts";
import type { OwnerAnswer } from "kelpspar-decisions/claims";
import type { ClaimInquiry } from "./claim_inquiry.ts";
import type { PeerAddress, PeerClient } from "./peer_client.ts";
import type { PeerDigest } from "./peer_digest.ts";
import type { PeerRouter } from "./peer_router.ts";
import type { TRPCClient } from "@trpc/client";
import { createTRPCClient, httpLink } from "@trpc/client";
import { formatHost, KelpsparError } from "kelpspar-shared";
import { configurationRowSchema } from "../configuration/configuration_row.ts";
import { Agent, fetch as undiciFetch } from "undici";
import { peerDigestSchema } from "./peer_digest.ts";
import { PEER_PATH, PEER_SECRET_HEADER } from "./peer_protocol.ts";

const DEFAULT_TIMEOUT_MILLISECONDS = 400;
const MOST_CLIENTS = 512;

/** How other daemons are called. */
export interface TrpcPeerClientOptions {
  readonly secret: string;
  readonly timer: TimerService;
  /** How long a call may take, milliseconds; default 400. */
  readonly timeoutMilliseconds?: number;
  /** Accepts the daemons' own certificates. */
  readonly tls?: boolean;
}

interface PeerConnection {
  readonly client: TRPCClient<PeerRouter>;
  readonly agent: Agent;
}

/**
 * Calls other daemons by tRPC. A call that times out destroys the connections
 * to that peer, since one that went silent for good would fail every later
 * call while the peer is well.
 */
export class TrpcPeerClient implements PeerClient {
  readonly #options: TrpcPeerClientOptions;
  readonly #connections = new Map<string, PeerConnection>();

  constructor(options: TrpcPeerClientOptions) {
    this.#options = options;
  }

  exchange(peer: PeerAddress, digest: PeerDigest): Promise<PeerDigest> {
    return this.#call(
      peer,
      async (client, signal) =>
        peerDigestSchema.parse(
          await client.exchange.mutate(digest, { signal }),
        ),
    );
  }

  configuration(peer: PeerAddress): Promise<ConfigurationRow | null> {
    return this.#call(
      peer,
      async (client, signal) =>
        configurationRowSchema.nullable().parse(
          await client.configuration.query(undefined, { signal }),
        ),
    );
  }

  askClaim(peer: PeerAddress, inquiry: ClaimInquiry): Promise<OwnerAnswer> {
    return this.#call(
      peer,
      (client, signal) => client.askClaim.query(inquiry, { signal }),
    );
  }

  /** Closes every connection. */
  async close(): Promise<void> {
    const connections = [...this.#connections.values()];
    this.#connections.clear();
    await Promise.all(connections.map(({ agent }) => agent.destroy()));
  }

  async #call<Answer>(
    peer: PeerAddress,
    call: (
      client: TRPCClient<PeerRouter>,
      signal: AbortSignal,
    ) => Promise<Answer>,
  ): Promise<Answer> {
    const abort = new AbortController();
    const stopTimer = this.#options.timer.registerTimeout(
      () => abort.abort(new Error("timed out")),
      this.#options.timeoutMilliseconds ?? DEFAULT_TIMEOUT_MILLISECONDS,
    );
    const connection = this.#connect(peer);
    try {
      return await call(connection.client, abort.signal);
    } catch (cause) {
      this.#drop(peer, connection);
      const reason = cause instanceof Error ? cause.message : String(cause);
      throw new KelpsparError(
        "peer_unavailable",
        `Daemon ${peer.address}:${peer.port} did not answer: ${reason}`,
        { cause },
      );
    } finally {
      stopTimer();
    }
  }

  #connect(peer: PeerAddress): PeerConnection {
    const name = formatHost(peer.address, peer.port);
    const known = this.#connections.get(name);
    if (known !== undefined) return known;
    if (this.#connections.size >= MOST_CLIENTS) this.#dropOldest();
    const agent = new Agent({
      connections: 2,
      connect: { rejectUnauthorized: false },
    });
    const scheme = this.#options.tls === true ? "https" : "http";
    const client = createTRPCClient<PeerRouter>({
      links: [httpLink({
        url: `${scheme}://${name}${PEER_PATH}`,
        headers: { [PEER_SECRET_HEADER]: this.#options.secret },
        fetch: (url, init) =>
          undiciFetch(url as string, {
            ...init as Parameters<typeof undiciFetch>[1],
            dispatcher: agent,
          }) as unknown as Promise<Response>,
      })],
    });
    const connection = { client, agent };
    this.#connections.set(name, connection);
    return connection;
  }

  #drop(peer: PeerAddress, connection: PeerConnection): void {
    const name = formatHost(peer.address, peer.port);
    if (this.#connections.get(name) === connection) {
      this.#connections.delete(name);
    }
    void connection.agent.destroy();
  }

  #dropOldest(): void {
    const oldest = this.#connections.entries().next().value;
    if (oldest === undefined) return;
    this.#connections.delete(oldest[0]);
    void oldest[1].agent.destroy();
  }
}

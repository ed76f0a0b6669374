import type { TimerService } from "kelpspar-shared";
import type { ConfigurationRow } from "../configuration/configuration_row.ts";
import type { OwnerAnswer } from "kelpspar-decisions/claims";
import type { ClaimInquiry } from "./claim_inquiry.ts";
import type { PeerAddress, PeerClient } from "./peer_client.ts";
import type { PeerDigest } from "./peer_digest.ts";
import type { PeerRouter } from "./peer_router.ts";
import type { TRPCClient } from "@trpc/client";
import { createTRPCClient, httpLink } from "@trpc/client";
import { createPeerFetch, PeerConnections } from "kelpspar-peers";
import { formatHost, KelpsparError } from "kelpspar-shared";
import { configurationRowSchema } from "../configuration/configuration_row.ts";
import { peerDigestSchema } from "./peer_digest.ts";
import { PEER_PATH, PEER_SECRET_HEADER } from "./peer_protocol.ts";

const DEFAULT_TIMEOUT_MILLISECONDS = 400;

/** Options of a `TrpcPeerClient`. */
export interface TrpcPeerClientOptions {
  readonly secret: string;
  readonly timer: TimerService;
  /** Timeout of a call in milliseconds; default 400. */
  readonly timeoutMilliseconds?: number;
  /** Uses HTTPS; self-signed certificates are accepted. */
  readonly tls?: boolean;
}

/**
 * Calls other daemons through tRPC. A call that fails or times out destroys the
 * connections to that peer, since a connection that stays silent would fail
 * every later call although the peer is healthy.
 */
export class TrpcPeerClient implements PeerClient {
  readonly #options: TrpcPeerClientOptions;
  readonly #connections: PeerConnections<TRPCClient<PeerRouter>>;

  constructor(options: TrpcPeerClientOptions) {
    this.#options = options;
    const scheme = options.tls === true ? "https" : "http";
    this.#connections = new PeerConnections({
      createClient: (peer, agent) =>
        createTRPCClient<PeerRouter>({
          links: [httpLink({
            url: `${scheme}://${peer}${PEER_PATH}`,
            headers: { [PEER_SECRET_HEADER]: options.secret },
            fetch: createPeerFetch(agent),
          })],
        }),
      agent: { connections: 2, connect: { rejectUnauthorized: false } },
    });
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
  close(): Promise<void> {
    return this.#connections.close();
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
    const name = formatHost(peer.address, peer.port);
    const connection = this.#connections.open(name);
    try {
      return await call(connection.client, abort.signal);
    } catch (cause) {
      this.#connections.drop(name, connection);
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
}

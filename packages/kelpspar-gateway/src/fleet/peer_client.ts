import type { TRPCClient } from "@trpc/client";
import type { TimerService } from "kelpspar-shared";
import type { ServingConfiguration } from "../configuration/serving_configuration.ts";
import type { ChainOutcome, PieceResult } from "../pieces/chain_outcome.ts";
import type { ChainRequest } from "../pieces/chain_request.ts";
import type { DaemonAddress, FleetDigest } from "./fleet_digest.ts";
import type { PeerRouter } from "./peer_router.ts";
import { createTRPCClient, httpLink } from "@trpc/client";
import { Agent, fetch as undiciFetch } from "undici";
import { PEER_PATH } from "./peer_listener.ts";

/** How long a short call to a peer may take, milliseconds. */
const SHORT_CALL_MILLISECONDS = 600;
/** Connections to peers that are kept at the most. */
const MOST_PEERS = 512;
/** A connection that isn't there after this is given up, milliseconds. */
const CONNECT_MILLISECONDS = 500;

interface Connection {
  readonly client: TRPCClient<PeerRouter>;
  readonly agent: Agent;
}

/** Calls other daemons by tRPC; each call throws when it fails. */
export class PeerClient {
  readonly #timer: TimerService;
  readonly #connections = new Map<string, Connection>();

  constructor(timer: TimerService) {
    this.#timer = timer;
  }

  exchange(peer: string, digest: FleetDigest): Promise<FleetDigest> {
    return this.#short(
      peer,
      (client, signal) => client.exchange.mutate(digest, { signal }),
    );
  }

  addresses(peer: string): Promise<readonly DaemonAddress[]> {
    return this.#short(
      peer,
      (client, signal) => client.addresses.query(undefined, { signal }),
    );
  }

  configuration(peer: string): Promise<ServingConfiguration | null> {
    return this.#short(
      peer,
      async (client, signal) =>
        await client.configuration.query(undefined, {
          signal,
        }) as unknown as ServingConfiguration | null,
    );
  }

  release(peer: string, results: readonly PieceResult[]): Promise<null> {
    return this.#short(
      peer,
      (client, signal) => client.release.mutate([...results], { signal }),
    );
  }

  /** Takes as long as the chain does, or until `signal`. */
  async runChain(
    peer: string,
    request: ChainRequest,
    signal: AbortSignal,
  ): Promise<ChainOutcome> {
    const { client } = this.#connect(peer);
    const stages = request.stages.map((one) => ({
      ...one,
      after: [...one.after],
    }));
    return await client.runChain.mutate({ ...request, stages }, { signal });
  }

  /**
   * A call that times out destroys the connections to that peer: one that went
   * silent for good would fail every later call while the peer is well.
   */
  async #short<Answer>(
    peer: string,
    call: (
      client: TRPCClient<PeerRouter>,
      signal: AbortSignal,
    ) => Promise<Answer>,
  ): Promise<Answer> {
    const abort = new AbortController();
    const stopTimer = this.#timer.registerTimeout(
      () => abort.abort(new Error("timed out")),
      SHORT_CALL_MILLISECONDS,
    );
    const connection = this.#connect(peer);
    try {
      return await call(connection.client, abort.signal);
    } catch (error) {
      if (abort.signal.aborted) this.#drop(peer, connection);
      throw error;
    } finally {
      stopTimer();
    }
  }

  #connect(peer: string): Connection {
    const known = this.#connections.get(peer);
    if (known !== undefined) return known;
    if (this.#connections.size >= MOST_PEERS) this.#dropOldest();
    const agent = new Agent({
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: { timeout: CONNECT_MILLISECONDS },
    });
    const client = createTRPCClient<PeerRouter>({
      links: [httpLink({
        url: `http://${peer}${PEER_PATH}`,
        fetch: (url, init) =>
          undiciFetch(url as string, {
            ...init as Parameters<typeof undiciFetch>[1],
            dispatcher: agent,
          }) as unknown as Promise<Response>,
      })],
    });
    const connection = { client, agent };
    this.#connections.set(peer, connection);
    return connection;
  }

  #drop(peer: string, connection: Connection): void {
    if (this.#connections.get(peer) === connection) {
      this.#connections.delete(peer);
    }
    // Chains under way there fail and are asked for again: their connections
    // may be just as silent, and pieces may be made twice.
    void connection.agent.destroy();
  }

  #dropOldest(): void {
    const oldest = this.#connections.entries().next().value;
    if (oldest === undefined) return;
    this.#connections.delete(oldest[0]);
    void oldest[1].agent.destroy();
  }
}

import type { TRPCClient } from "@trpc/client";
import type { TimerService } from "kelpspar-shared";
import type { ServingConfiguration } from "../configuration/serving_configuration.ts";
import type { ChainOutcome } from "../pieces/chain_outcome.ts";
import type { ChainRelease, ChainRequest } from "../pieces/chain_request.ts";
import type { DaemonAddress, FleetDigest } from "./fleet_digest.ts";
import type { PeerRouter } from "./peer_router.ts";
import { createTRPCClient, httpLink } from "@trpc/client";
import { PeerConnections } from "kelpspar-peers";
import { PEER_PATH } from "./peer_listener.ts";

/** How long a short call to a peer may take, milliseconds. */
const SHORT_CALL_MILLISECONDS = 600;
/** A connection that isn't there after this is given up, milliseconds. */
const CONNECT_MILLISECONDS = 500;

/** Calls other daemons by tRPC; each call throws when it fails. */
export class PeerClient {
  readonly #timer: TimerService;
  readonly #connections = new PeerConnections({
    createClient: (peer, fetch) =>
      createTRPCClient<PeerRouter>({
        links: [httpLink({ url: `http://${peer}${PEER_PATH}`, fetch })],
      }),
    agent: {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: { timeout: CONNECT_MILLISECONDS },
    },
  });

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

  release(peer: string, release: ChainRelease): Promise<null> {
    const { attemptId, results } = release;
    return this.#short(
      peer,
      (client, signal) =>
        client.release.mutate({ attemptId, results: [...results] }, { signal }),
    );
  }

  /** Takes as long as the chain does, or until `signal`. */
  async runChain(
    peer: string,
    request: ChainRequest,
    signal: AbortSignal,
  ): Promise<ChainOutcome> {
    const { client } = this.#connections.open(peer);
    const stages = request.stages.map((one) => ({
      ...one,
      after: [...one.after],
    }));
    const reader = request.reader === undefined ? undefined : {
      service: request.reader.service,
      promptParts: [...request.reader.promptParts],
    };
    const input = { ...request, stages, reader };
    return await client.runChain.mutate(input, { signal });
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
    const connection = this.#connections.open(peer);
    try {
      return await call(connection.client, abort.signal);
    } catch (error) {
      // Chains under way there fail and are asked for again: their connections
      // may be just as silent, and pieces may be made twice.
      if (abort.signal.aborted) this.#connections.drop(peer, connection);
      throw error;
    } finally {
      stopTimer();
    }
  }
}

import type { GuardedAgentOptions } from "kelpspar-http";
import type { Agent } from "undici";
import type { PeerConnection } from "./peer_connection.ts";
import { createGuardedAgent } from "kelpspar-http";

/** Options of `PeerConnections`. */
export interface PeerConnectionsOptions<Client> {
  /** Creates a client for `peer` (`address:port`) that sends over `agent`. */
  readonly createClient: (peer: string, agent: Agent) => Client;
  readonly agent: GuardedAgentOptions;
}

/** Above this number, the oldest peer's connection is destroyed. */
const MAXIMUM_PEERS = 512;

/**
 * Connections to other daemons, by `address:port`. The connections to one peer
 * can be destroyed separately: otherwise a connection that stays silent would
 * fail every later call although the peer is healthy.
 */
export class PeerConnections<Client> {
  readonly #options: PeerConnectionsOptions<Client>;
  readonly #connections = new Map<string, PeerConnection<Client>>();

  constructor(options: PeerConnectionsOptions<Client>) {
    this.#options = options;
  }

  /** Returns the connection to a peer; creates it if there is none. */
  open(peer: string): PeerConnection<Client> {
    const existing = this.#connections.get(peer);
    if (existing !== undefined) return existing;
    if (this.#connections.size >= MAXIMUM_PEERS) this.#dropOldest();
    const connection = this.create(peer);
    this.#connections.set(peer, connection);
    return connection;
  }

  /** Creates a connection that calls don't use until it replaces another. */
  create(peer: string): PeerConnection<Client> {
    const agent = createGuardedAgent(this.#options.agent);
    const client = this.#options.createClient(peer, agent);
    return { client, agent };
  }

  /**
   * Makes later calls use `next`; calls in flight over `previous` continue.
   * Closes `next` if the connection has changed meanwhile.
   */
  replace(
    peer: string,
    previous: PeerConnection<Client>,
    next: PeerConnection<Client>,
  ): void {
    if (this.#connections.get(peer) !== previous) {
      this.closeRetired(next);
      return;
    }
    this.retire(peer, previous);
    this.#connections.set(peer, next);
  }

  /** Destroys a connection; calls in flight on it fail. */
  drop(peer: string, connection: PeerConnection<Client>): void {
    if (this.#connections.get(peer) === connection) {
      this.#connections.delete(peer);
    }
    void connection.agent.destroy();
  }

  /** Makes later calls use a new connection; calls in flight continue. */
  retire(peer: string, connection: PeerConnection<Client>): void {
    if (this.#connections.get(peer) !== connection) return;
    this.#connections.delete(peer);
  }

  /**
   * Closes a retired connection once its calls have ended. Does nothing if it
   * is already closed: several overdue calls of one connection may request
   * this.
   */
  closeRetired({ agent }: PeerConnection<Client>): void {
    if (agent.closed || agent.destroyed) return;
    void agent.close();
  }

  /** Destroys every connection. */
  async close(): Promise<void> {
    const connections = [...this.#connections.values()];
    this.#connections.clear();
    await Promise.all(connections.map(({ agent }) => agent.destroy()));
  }

  #dropOldest(): void {
    const oldest = this.#connections.entries().next().value;
    if (oldest !== undefined) this.drop(...oldest);
  }
}

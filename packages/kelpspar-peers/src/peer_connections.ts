import type { PeerConnection } from "./peer_connection.ts";
import { Agent } from "undici";

/** How peers are reached. */
export interface PeerConnectionsOptions<Client> {
  /** `peer` is `address:port`; calls go over the agent's connections. */
  readonly createClient: (peer: string, agent: Agent) => Client;
  readonly agent: Agent.Options;
}

/** Peers whose connections are kept at the most. */
const MOST_PEERS = 512;

/**
 * Connections to other daemons, by `address:port`. Those to one peer can be
 * destroyed alone: one that went silent for good would fail every later call
 * while the peer is well.
 */
export class PeerConnections<Client> {
  readonly #options: PeerConnectionsOptions<Client>;
  readonly #connections = new Map<string, PeerConnection<Client>>();

  constructor(options: PeerConnectionsOptions<Client>) {
    this.#options = options;
  }

  /** The connection to a peer; a new one when there is none. */
  open(peer: string): PeerConnection<Client> {
    const known = this.#connections.get(peer);
    if (known !== undefined) return known;
    if (this.#connections.size >= MOST_PEERS) this.#dropOldest();
    const agent = new Agent(this.#options.agent);
    const client = this.#options.createClient(peer, agent);
    const connection = { client, agent };
    this.#connections.set(peer, connection);
    return connection;
  }

  /** Destroys a connection; calls under way on it fail. */
  drop(peer: string, connection: PeerConnection<Client>): void {
    if (this.#connections.get(peer) === connection) {
      this.#connections.delete(peer);
    }
    void connection.agent.destroy();
  }

  /** Lets later calls take a new connection; those under way go on. */
  retire(peer: string, connection: PeerConnection<Client>): void {
    if (this.#connections.get(peer) !== connection) return;
    this.#connections.delete(peer);
  }

  /**
   * Closes a retired connection once the calls on it have ended, if it isn't
   * closed: several overdue calls of one connection ask for it.
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

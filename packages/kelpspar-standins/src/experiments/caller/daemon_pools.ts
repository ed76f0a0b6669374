import { Pool } from "undici";

const CONNECTIONS = 1_024;
const CONNECT_TIMEOUT_MILLISECONDS = 1_000;

/** Connections of the callers to each daemon. */
export class DaemonPools {
  readonly #pools = new Map<string, Pool>();

  /** The pool of a daemon. */
  of(daemon: { readonly address: string; readonly port: number }): Pool {
    const origin = `http://${daemon.address}:${daemon.port}`;
    const known = this.#pools.get(origin);
    if (known !== undefined) return known;
    const pool = new Pool(origin, {
      connections: CONNECTIONS,
      connect: { timeout: CONNECT_TIMEOUT_MILLISECONDS },
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    this.#pools.set(origin, pool);
    return pool;
  }

  /** Closes every connection. */
  async close(): Promise<void> {
    await Promise.all([...this.#pools.values()].map((pool) => pool.destroy()));
  }
}

import { Pool } from "undici";

const CONNECTIONS = 1_024;
const CONNECT_TIMEOUT_MILLISECONDS = 1_000;

/** Connection pools of the callers, one for each daemon. */
export class DaemonPools {
  readonly #pools = new Map<string, Pool>();

  /** Returns the pool of a daemon; creates it at first use. */
  of(daemon: { readonly address: string; readonly port: number }): Pool {
    const origin = `http://${daemon.address}:${daemon.port}`;
    const existing = this.#pools.get(origin);
    if (existing !== undefined) return existing;
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

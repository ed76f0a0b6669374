import type { ServingConfiguration } from "./serving_configuration.ts";
import { RouteTable } from "./route_table.ts";

/** Told after a newer configuration came into force. */
export type ConfigurationListener = (table: RouteTable) => void;

/**
 * The configuration in force. It only ever moves to a higher version: a stale
 * reader, a peer that lags or a store that returns may all offer an older one
 * later, and a caller would see a revoked key or an old route come back.
 */
export class ConfigurationKeeper {
  #table: RouteTable | undefined;
  readonly #listeners = new Set<ConfigurationListener>();

  /** Undefined until the first configuration is known. */
  get table(): RouteTable | undefined {
    return this.#table;
  }

  /** 0 while none is known. */
  get version(): number {
    return this.#table?.configuration.version ?? 0;
  }

  /** Takes a configuration in; false when it isn't newer. */
  offer(configuration: ServingConfiguration): boolean {
    if (configuration.version <= this.version) return false;
    const table = new RouteTable(configuration);
    this.#table = table;
    for (const listener of this.#listeners) listener(table);
    return true;
  }

  registerListener(listener: ConfigurationListener): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }
}

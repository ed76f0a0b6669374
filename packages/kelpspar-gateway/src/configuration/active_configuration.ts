import type { ServingConfiguration } from "./serving_configuration.ts";
import { RouteTable } from "./route_table.ts";

/** Called after a newer configuration came into force. */
export type ConfigurationListener = (table: RouteTable) => void;

/**
 * The configuration in force. Its version only rises: a stale reader, a lagging
 * peer or a restored store may deliver an older one later, and callers would
 * see a revoked key or an old route become valid again.
 */
export class ActiveConfiguration {
  #table: RouteTable | undefined;
  readonly #listeners = new Set<ConfigurationListener>();

  /** Undefined until the first configuration arrives. */
  get table(): RouteTable | undefined {
    return this.#table;
  }

  /** 0 without a configuration. */
  get version(): number {
    return this.#table?.configuration.version ?? 0;
  }

  /** Applies a configuration; false when it isn't newer. */
  applyIfNewer(configuration: ServingConfiguration): boolean {
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

import type {
  AccountConfiguration,
  Configuration,
  OperatorConfiguration,
  ServiceConfiguration,
} from "kelpspar-configuration";
import type { ConfigurationIndexReader } from "./configuration_reader.ts";
import type { DaemonState } from "./daemon_state.ts";
import type { StateStore } from "./state_store.ts";
import { sha256 } from "kelpspar-shared";

/** Indexes each revision once and answers from the index of the newest. */
export class StateConfigurationReader implements ConfigurationIndexReader {
  readonly #state: StateStore<DaemonState>;
  #indexed: Configuration | undefined;
  #services: ReadonlyMap<string, ServiceConfiguration> = new Map();
  #accounts: ReadonlyMap<string, AccountConfiguration> = new Map();
  #accountsByKeyHash: ReadonlyMap<string, AccountConfiguration> = new Map();

  constructor(state: StateStore<DaemonState>) {
    this.#state = state;
  }

  revision(): number {
    return this.#state.read().configurationRow?.revision ?? 0;
  }

  current(): Configuration | undefined {
    return this.#state.read().configuration;
  }

  services(): ReadonlyMap<string, ServiceConfiguration> {
    this.#index();
    return this.#services;
  }

  accounts(): ReadonlyMap<string, AccountConfiguration> {
    this.#index();
    return this.#accounts;
  }

  /**
   * Finds the client account of a caller key. The look-up is by the key's
   * SHA-256, so the time it takes tells nothing of a key.
   */
  accountOfKey(key: string): AccountConfiguration | undefined {
    this.#index();
    return this.#accountsByKeyHash.get(sha256(key));
  }

  /** Finds the operator of a key, by its SHA-256 too. */
  operatorOfKey(key: string): OperatorConfiguration | undefined {
    const hash = sha256(key);
    return this.current()?.operators.find((operator) =>
      operator.keyHash === hash
    );
  }

  #index(): void {
    const configuration = this.current();
    if (configuration === undefined || configuration === this.#indexed) return;
    this.#indexed = configuration;
    this.#services = mapById(configuration.services);
    this.#accounts = mapById(configuration.accounts);
    this.#accountsByKeyHash = new Map(
      configuration.accounts.flatMap((account) =>
        account.callerKeyHashes.map((hash) => [hash, account] as const)
      ),
    );
  }
}

function mapById<Item extends { readonly id: string }>(
  items: readonly Item[],
): ReadonlyMap<string, Item> {
  return new Map(items.map((item) => [item.id, item]));
}

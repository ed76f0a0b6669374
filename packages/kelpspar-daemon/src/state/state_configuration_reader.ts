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

/** Reads the active configuration through an index built once per revision. */
export class StateConfigurationReader implements ConfigurationIndexReader {
  readonly #state: StateStore<DaemonState>;
  #indexedConfiguration: Configuration | undefined;
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
    this.#refreshIndex();
    return this.#services;
  }

  accounts(): ReadonlyMap<string, AccountConfiguration> {
    this.#refreshIndex();
    return this.#accounts;
  }

  /**
   * Finds the client account of a caller key. The lookup uses the key's SHA-256,
   * so that its timing reveals nothing about a key.
   */
  accountOfKey(key: string): AccountConfiguration | undefined {
    this.#refreshIndex();
    return this.#accountsByKeyHash.get(sha256(key));
  }

  /** Finds the operator of a key, also by its SHA-256. */
  operatorOfKey(key: string): OperatorConfiguration | undefined {
    const hash = sha256(key);
    return this.current()?.operators.find((operator) =>
      operator.keyHash === hash
    );
  }

  #refreshIndex(): void {
    const configuration = this.current();
    if (
      configuration === undefined ||
      configuration === this.#indexedConfiguration
    ) return;
    this.#indexedConfiguration = configuration;
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

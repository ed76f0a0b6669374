import type {
  AccountConfiguration,
  Configuration,
  ServiceConfiguration,
} from "kelpspar-configuration";

/** Reads the active configuration; each call sees the newest revision. */
export interface ConfigurationIndexReader {
  /** 0 while the daemon has no configuration. */
  revision(): number;
  current(): Configuration | undefined;
  services(): ReadonlyMap<string, ServiceConfiguration>;
  accounts(): ReadonlyMap<string, AccountConfiguration>;
}

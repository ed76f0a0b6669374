import type { ListedVm } from "kelpspar-backends";
import type { ConfigurationRow } from "../../configuration/configuration_row.ts";
import type { Settings } from "../../settings/settings_schema.ts";
import { sha256 } from "kelpspar-shared";
import { settingsSchema } from "../../settings/settings_schema.ts";

/** The keys of the test site's callers and operators. */
export const KEYS = {
  large: "caller-key-large",
  small: "caller-key-small",
  viewer: "operator-key-viewer",
  operator: "operator-key-operator",
  administrator: "operator-key-administrator",
  bootstrap: "operator-key-bootstrap",
} as const;

/** The peer secret of the test site. */
export const PEER_SECRET = "a-secret-of-the-daemons";

/**
 * A configuration with two client accounts. Pipeline `echo` is repeatable;
 * `booking` ends with a non-repeatable stage. `changes` replace top-level
 * fields.
 */
export function createConfiguration(
  changes: Readonly<Record<string, unknown>> = {},
): Readonly<Record<string, unknown>> {
  const allAccounts = [{ account: "large" }, { account: "small" }];
  return {
    site: "test",
    accounts: [createAccount("large", 0.6), createAccount("small", 0.4)],
    operators: (["viewer", "operator", "administrator"] as const).map(
      (role) => ({ id: role, role, keyHash: sha256(KEYS[role]) }),
    ),
    services: [
      { id: "encode", kind: "plain" },
      { id: "book", kind: "plain", repeatable: false },
    ],
    pipelines: [
      {
        id: "echo",
        stages: [{ id: "encode", service: "encode" }],
        accounts: allAccounts,
      },
      {
        id: "booking",
        stages: [
          { id: "encode", service: "encode" },
          { id: "book", service: "book" },
        ],
        accounts: allAccounts,
      },
      {
        id: "large-only",
        stages: [{ id: "encode", service: "encode" }],
        accounts: [{ account: "large" }],
      },
    ],
    ...changes,
  };
}

/** Creates a client account of the test site. */
export function createAccount(
  id: "large" | "small",
  share: number,
): Readonly<Record<string, unknown>> {
  return { id, share, callerKeyHashes: [sha256(KEYS[id])] };
}

/** Creates a configuration row as stored in the table. */
export function createRow(
  revision: number,
  configuration: unknown = createConfiguration(),
): ConfigurationRow {
  return {
    revision,
    changeId: `change-${revision}`,
    operator: "administrator",
    acceptedAt: 0,
    configuration,
  };
}

/** The VM list: two endpoints of each service. */
export const ENDPOINT_VMS: readonly ListedVm[] = [
  createVm("encode-1", "encode"),
  createVm("encode-2", "encode"),
  createVm("book-1", "book"),
  createVm("book-2", "book"),
];

function createVm(id: string, service: string): ListedVm {
  return {
    id,
    incarnation: `${id}-a`,
    address: "127.0.0.1",
    port: 1,
    availabilityZone: "a",
    kind: "endpoint",
    service,
    state: "live",
    checksFencing: false,
  };
}

/** Creates settings of a daemon on a free port of 127.0.0.1. */
export function createSettings(
  changes: Readonly<Record<string, unknown>> = {},
): Settings {
  const origin = "http://127.0.0.1:1";
  return settingsSchema.parse({
    daemonId: "daemon-1",
    address: "127.0.0.1",
    port: 0,
    availabilityZone: "a",
    platform: {
      tableOrigin: origin,
      objectOrigin: origin,
      weightOrigin: origin,
      vmListOrigin: origin,
    },
    peerSecret: PEER_SECRET,
    bootstrapOperatorKeyHash: sha256(KEYS.bootstrap),
    ...changes,
  });
}

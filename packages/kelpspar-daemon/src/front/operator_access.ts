import type {
  OperatorConfiguration,
  OperatorRole,
} from "kelpspar-configuration";
import type { StateConfigurationReader } from "../state/state_configuration_reader.ts";
import type { HttpExchange } from "./http_exchange.ts";
import { equalInConstantTime, KelpsparError, sha256 } from "kelpspar-shared";
import { bearerKey } from "./bearer_key.ts";

/** An operator authenticated by a valid key. */
export type AuthenticatedOperator = Pick<OperatorConfiguration, "id" | "role">;

/** Sources of the operators' key hashes. */
export interface OperatorAccessOptions {
  readonly configuration: StateConfigurationReader;
  readonly bootstrapOperatorKeyHash: string | undefined;
}

const ROLE_LEVELS: Readonly<Record<OperatorRole, number>> = {
  viewer: 0,
  operator: 1,
  administrator: 2,
};

/** Authenticates operators by key and authorizes them by role. */
export class OperatorAccess {
  readonly #options: OperatorAccessOptions;

  constructor(options: OperatorAccessOptions) {
    this.#options = options;
  }

  /** Throws `unknown_operator_key` or `operator_role`. */
  authorize(exchange: HttpExchange, role: OperatorRole): AuthenticatedOperator {
    const operator = this.#find(exchange);
    if (operator === undefined) {
      throw new KelpsparError(
        "unknown_operator_key",
        "No operator has this key",
      );
    }
    if (ROLE_LEVELS[operator.role] >= ROLE_LEVELS[role]) return operator;
    throw new KelpsparError(
      "operator_role",
      `Operator "${operator.id}" is a ${operator.role}; this needs ${role}`,
    );
  }

  /**
   * The bootstrap key, whose hash is in the settings, is valid only until the
   * first configuration is active.
   */
  #find(exchange: HttpExchange): AuthenticatedOperator | undefined {
    const key = bearerKey(exchange.request);
    if (key === undefined) return undefined;
    const { configuration, bootstrapOperatorKeyHash: hash } = this.#options;
    if (configuration.current() !== undefined) {
      return configuration.operatorOfKey(key);
    }
    if (hash === undefined || !equalInConstantTime(sha256(key), hash)) {
      return undefined;
    }
    return { id: "bootstrap", role: "administrator" };
  }
}

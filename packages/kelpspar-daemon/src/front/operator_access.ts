import type {
  OperatorConfiguration,
  OperatorRole,
} from "kelpspar-configuration";
import type { StateConfigurationReader } from "../state/state_configuration_reader.ts";
import type { HttpExchange } from "./http_exchange.ts";
import { equalInConstantTime, KelpsparError, sha256 } from "kelpspar-shared";
import { bearerKey } from "./bearer_key.ts";

/** An operator who showed a valid key. */
export type KnownOperator = Pick<OperatorConfiguration, "id" | "role">;

/** Whom operators' keys are compared with. */
export interface OperatorAccessOptions {
  readonly configuration: StateConfigurationReader;
  readonly bootstrapOperatorKeyHash: string | undefined;
}

const ROLE_RANKS: Readonly<Record<OperatorRole, number>> = {
  viewer: 0,
  operator: 1,
  administrator: 2,
};

/** Says what an operator's key allows. */
export class OperatorAccess {
  readonly #options: OperatorAccessOptions;

  constructor(options: OperatorAccessOptions) {
    this.#options = options;
  }

  /** Throws `unknown_operator_key` or `operator_role`. */
  authorize(exchange: HttpExchange, role: OperatorRole): KnownOperator {
    const operator = this.#find(exchange);
    if (operator === undefined) {
      throw new KelpsparError(
        "unknown_operator_key",
        "No operator has this key",
      );
    }
    if (ROLE_RANKS[operator.role] >= ROLE_RANKS[role]) return operator;
    throw new KelpsparError(
      "operator_role",
      `Operator "${operator.id}" is a ${operator.role}; this needs ${role}`,
    );
  }

  /**
   * Until the first configuration names operators, the key whose hash stands
   * in the settings may apply one; after that it opens nothing.
   */
  #find(exchange: HttpExchange): KnownOperator | undefined {
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

import type {
  OperatorConfiguration,
  OperatorRole,
} from "kelpspar-configuration";
import type { TimerService } from "kelpspar-shared";
import type { ConfigurationRow } from "../configuration/configuration_row.ts";
import type { ConfigurationApplier } from "../operators/configuration_applier.ts";
import type { StateConfigurationReader } from "../state/state_configuration_reader.ts";
import type { HttpExchange } from "./http_exchange.ts";
import type { Route } from "./route.ts";
import { parseConfiguration } from "kelpspar-configuration";
import {
  equalInConstantTime,
  KelpsparError,
  RESULT_CODES,
  sha256,
  toFailureRecord,
} from "kelpspar-shared";
import { z } from "zod";
import { bearerKey } from "./bearer_key.ts";
import { parseJsonBody, readBody } from "./read_json_body.ts";
import { sendJson } from "./send_json.ts";

/** What the operators' interface answers from. */
export interface OperatorRoutesOptions {
  readonly configuration: StateConfigurationReader;
  readonly applier: ConfigurationApplier;
  readonly onAccepted: (row: ConfigurationRow) => void;
  /** Reports by their path below `/v1/operator/`; viewers may read them. */
  readonly reports: Readonly<Record<string, () => unknown>>;
  readonly bootstrapOperatorKeyHash: string | undefined;
  readonly maximumBodyBytes: number;
  readonly bodyTimeoutMilliseconds: number;
  readonly timer: TimerService;
}

const applyBodySchema = z.strictObject({
  configuration: z.unknown(),
  expectedRevision: z.number().int().min(0),
  changeId: z.string().min(1).max(200),
});

const ROLE_RANKS: Readonly<Record<OperatorRole, number>> = {
  viewer: 0,
  operator: 1,
  administrator: 2,
};

/** The routes that operators use. */
export function createOperatorRoutes(
  options: OperatorRoutesOptions,
): readonly Route[] {
  const reports = Object.entries(options.reports).map(([name, report]) => ({
    method: "GET" as const,
    path: `/v1/operator/${name}`,
    handle: async (exchange: HttpExchange): Promise<void> => {
      authorize(exchange, options, "viewer");
      sendJson(exchange.response, report());
    },
  }));
  return [
    ...reports,
    {
      method: "POST",
      path: "/v1/operator/configuration",
      handle: (exchange) => applyConfiguration(exchange, options),
    },
  ];
}

async function applyConfiguration(
  exchange: HttpExchange,
  options: OperatorRoutesOptions,
): Promise<void> {
  const operator = authorize(exchange, options, "administrator");
  const text = await readBody(exchange.request, {
    maximumBytes: options.maximumBodyBytes,
    timeoutMilliseconds: options.bodyTimeoutMilliseconds,
    timer: options.timer,
  });
  const body = applyBodySchema.safeParse(parseJsonBody(text));
  if (!body.success) {
    throw new KelpsparError(
      "malformed_request",
      "Cannot apply: the body needs configuration, expectedRevision and changeId",
    );
  }
  const parsed = parseConfiguration(body.data.configuration);
  if (!parsed.ok) return sendProblems(exchange, parsed.errors);
  const row = await options.applier.apply({
    ...body.data,
    operator: operator.id,
  });
  options.onAccepted(row);
  sendJson(exchange.response, { revision: row.revision });
}

function sendProblems(
  exchange: HttpExchange,
  errors: readonly unknown[],
): void {
  const error = new KelpsparError(
    "configuration_invalid",
    `Cannot apply: the configuration has ${errors.length} errors`,
  );
  const body = { ...toFailureRecord(error), errors };
  sendJson(exchange.response, body, RESULT_CODES[error.result].httpStatus);
}

function authorize(
  exchange: HttpExchange,
  options: OperatorRoutesOptions,
  role: OperatorRole,
): Pick<OperatorConfiguration, "id" | "role"> {
  const operator = findOperator(exchange, options);
  if (operator === undefined) {
    throw new KelpsparError("unknown_operator_key", "No operator has this key");
  }
  if (ROLE_RANKS[operator.role] >= ROLE_RANKS[role]) return operator;
  throw new KelpsparError(
    "operator_role",
    `Operator "${operator.id}" is a ${operator.role}; this needs ${role}`,
  );
}

/**
 * Until the first configuration names operators, the key whose hash stands in
 * the settings may apply one; after that it opens nothing.
 */
function findOperator(
  exchange: HttpExchange,
  options: OperatorRoutesOptions,
): Pick<OperatorConfiguration, "id" | "role"> | undefined {
  const key = bearerKey(exchange.request);
  if (key === undefined) return undefined;
  if (options.configuration.current() !== undefined) {
    return options.configuration.operatorOfKey(key);
  }
  const hash = options.bootstrapOperatorKeyHash;
  if (hash === undefined || !equalInConstantTime(sha256(key), hash)) {
    return undefined;
  }
  return { id: "bootstrap", role: "administrator" };
}

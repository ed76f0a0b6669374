import type { TimerService } from "kelpspar-shared";
import type { ConfigurationRow } from "../configuration/configuration_row.ts";
import type { ConfigurationStore } from "../configuration/configuration_store.ts";
import type { ConfigurationApplier } from "../operators/configuration_applier.ts";
import type { DrainStore } from "../operators/drain_store.ts";
import type { DrainKind, Drains } from "../operators/drains.ts";
import type { OperatorReports } from "../operators/operator_reports.ts";
import type { RequestRegistry } from "../requests/request_registry.ts";
import type { HttpExchange } from "./http_exchange.ts";
import type { OperatorAccess } from "./operator_access.ts";
import type { Route } from "./route.ts";
import { parseConfiguration } from "kelpspar-configuration";
import { KelpsparError, RESULT_CODES, toFailureRecord } from "kelpspar-shared";
import { z } from "zod";
import { reportRequest } from "../operators/request_report.ts";
import { parseJsonBody, readBody } from "./read_json_body.ts";
import { sendJson } from "./send_json.ts";

/** Dependencies of the operator routes. */
export interface OperatorRoutesOptions {
  readonly access: OperatorAccess;
  readonly applier: ConfigurationApplier;
  readonly store: ConfigurationStore;
  readonly drains: DrainStore;
  readonly registry: RequestRegistry;
  readonly reports: OperatorReports;
  readonly current: () => ConfigurationRow | undefined;
  /** The VM incarnation of an endpoint or daemon; undefined if not listed. */
  readonly incarnationOf: (kind: DrainKind, id: string) => string | undefined;
  readonly onAccepted: (row: ConfigurationRow) => void;
  readonly onDrains: (drains: Drains) => void;
  readonly maximumBodyBytes: number;
  readonly bodyTimeoutMilliseconds: number;
  readonly timer: TimerService;
}

const MAXIMUM_REVISIONS = 100;

const applyBodySchema = z.strictObject({
  configuration: z.unknown(),
  expectedRevision: z.number().int().min(0),
  changeId: z.string().min(1).max(200),
});

const drainBodySchema = z.strictObject({
  kind: z.enum(["endpoint", "daemon"]),
  id: z.string().min(1),
});

/** Creates the routes of the operator API. */
export function createOperatorRoutes(
  options: OperatorRoutesOptions,
): readonly Route[] {
  return [
    ...createReportRoutes(options),
    {
      method: "GET",
      path: "/v1/operator/requests/:requestId",
      handle: (exchange) => showRequest(exchange, options),
    },
    {
      method: "GET",
      path: "/v1/operator/configuration",
      handle: (exchange) => showConfiguration(exchange, options),
    },
    {
      method: "GET",
      path: "/v1/operator/configuration/history",
      handle: (exchange) => showHistory(exchange, options),
    },
    {
      method: "GET",
      path: "/v1/operator/configuration/changes/:changeId",
      handle: (exchange) => showChange(exchange, options),
    },
    {
      method: "POST",
      path: "/v1/operator/configuration",
      handle: (exchange) => applyConfiguration(exchange, options),
    },
    {
      method: "POST",
      path: "/v1/operator/drains",
      handle: (exchange) => drain(exchange, options),
    },
    {
      method: "DELETE",
      path: "/v1/operator/drains/:kind/:id",
      handle: (exchange) => undrain(exchange, options),
    },
  ];
}

function createReportRoutes(
  options: OperatorRoutesOptions,
): readonly Route[] {
  return Object.entries(options.reports).map(([name, report]) => ({
    method: "GET" as const,
    path: `/v1/operator/${name}`,
    handle: async (exchange: HttpExchange): Promise<void> => {
      options.access.authorize(exchange, "viewer");
      sendJson(exchange.response, report());
    },
  }));
}

async function showRequest(
  exchange: HttpExchange,
  options: OperatorRoutesOptions,
): Promise<void> {
  options.access.authorize(exchange, "viewer");
  const requestId = exchange.parameters["requestId"] ?? "";
  const context = options.registry.findAny(requestId);
  if (context === undefined) {
    throw new KelpsparError(
      "request_not_found",
      `No request "${requestId}" is known at this daemon`,
    );
  }
  sendJson(exchange.response, reportRequest(context));
}

async function showConfiguration(
  exchange: HttpExchange,
  options: OperatorRoutesOptions,
): Promise<void> {
  options.access.authorize(exchange, "viewer");
  const row = options.current();
  if (row === undefined) {
    throw new KelpsparError(
      "no_configuration",
      "No configuration is in force",
    );
  }
  sendJson(exchange.response, row);
}

async function showHistory(
  exchange: HttpExchange,
  options: OperatorRoutesOptions,
): Promise<void> {
  options.access.authorize(exchange, "viewer");
  const requestedLimit = Number(exchange.url.searchParams.get("limit") ?? 20);
  const limit = Math.min(
    MAXIMUM_REVISIONS,
    Math.max(1, Math.floor(requestedLimit) || 1),
  );
  const rows = await options.store.history(limit);
  sendJson(exchange.response, {
    revisions: rows.map(({ configuration: _omitted, ...row }) => row),
  });
}

async function showChange(
  exchange: HttpExchange,
  options: OperatorRoutesOptions,
): Promise<void> {
  options.access.authorize(exchange, "viewer");
  const changeId = exchange.parameters["changeId"] ?? "";
  const rows = await options.store.history(MAXIMUM_REVISIONS);
  const row = rows.find((candidate) => candidate.changeId === changeId);
  sendJson(
    exchange.response,
    row === undefined
      ? { state: "unknown" }
      : { state: "accepted", revision: row.revision },
  );
}

async function applyConfiguration(
  exchange: HttpExchange,
  options: OperatorRoutesOptions,
): Promise<void> {
  const operator = options.access.authorize(exchange, "administrator");
  const body = await readValidatedBody(exchange, options, applyBodySchema);
  const parsed = parseConfiguration(body.configuration);
  if (!parsed.ok) return sendConfigurationErrors(exchange, parsed.errors);
  const row = await options.applier.apply({ ...body, operator: operator.id });
  options.onAccepted(row);
  sendJson(exchange.response, { revision: row.revision });
}

async function drain(
  exchange: HttpExchange,
  options: OperatorRoutesOptions,
): Promise<void> {
  options.access.authorize(exchange, "operator");
  const { kind, id } = await readValidatedBody(
    exchange,
    options,
    drainBodySchema,
  );
  const incarnation = options.incarnationOf(kind, id);
  if (incarnation === undefined) {
    throw new KelpsparError(
      "malformed_request",
      `There is no ${kind} "${id}"`,
    );
  }
  const drains = await options.drains.drain({ kind, id, incarnation });
  options.onDrains(drains);
  sendJson(exchange.response, drains);
}

async function undrain(
  exchange: HttpExchange,
  options: OperatorRoutesOptions,
): Promise<void> {
  options.access.authorize(exchange, "operator");
  const target = drainBodySchema.safeParse(exchange.parameters);
  if (!target.success) {
    throw new KelpsparError(
      "malformed_request",
      "Only endpoints and daemons are drained",
    );
  }
  const drains = await options.drains.undrain(target.data);
  options.onDrains(drains);
  sendJson(exchange.response, drains);
}

async function readValidatedBody<Body>(
  exchange: HttpExchange,
  options: OperatorRoutesOptions,
  schema: z.ZodType<Body>,
): Promise<Body> {
  const text = await readBody(exchange.request, {
    maximumBytes: options.maximumBodyBytes,
    timeoutMilliseconds: options.bodyTimeoutMilliseconds,
    timer: options.timer,
  });
  const parsed = schema.safeParse(parseJsonBody(text));
  if (parsed.success) return parsed.data;
  const problems = parsed.error.issues.map((issue) =>
    `${issue.path.join(".") || "(root)"}: ${issue.message}`
  );
  throw new KelpsparError(
    "malformed_request",
    `Cannot take the command: ${problems.join("; ")}`,
  );
}

function sendConfigurationErrors(
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

import type {
  AddressAnswer,
  SubmitRequest,
  TimerService,
} from "kelpspar-shared";
import type { AccountConfiguration } from "kelpspar-configuration";
import type { KeyLookup } from "../requests/key_lookup.ts";
import type { RequestContext } from "../requests/request_context.ts";
import type { RequestRegistry } from "../requests/request_registry.ts";
import type { RequestService } from "../requests/request_service.ts";
import type { StateConfigurationReader } from "../state/state_configuration_reader.ts";
import type { HttpExchange } from "./http_exchange.ts";
import type { Route } from "./route.ts";
import { KelpsparError, submitRequestSchema } from "kelpspar-shared";
import { withoutNotRun } from "../requests/request_outcome.ts";
import { createStoredAnswer } from "../requests/stored_answer.ts";
import { bearerKey } from "./bearer_key.ts";
import { parseJsonBody, readBody } from "./read_json_body.ts";
import { sendJson } from "./send_json.ts";
import { streamAnswer } from "./stream_answer.ts";

/** Dependencies of the caller routes. */
export interface CallerRoutesOptions {
  readonly configuration: StateConfigurationReader;
  readonly requests: RequestService;
  /** Waits briefly for a newer configuration that is being fetched. */
  readonly waitForConfiguration: () => Promise<void>;
  readonly registry: RequestRegistry;
  readonly incarnation: string;
  readonly lookup: KeyLookup;
  /** The daemons that a caller in an availability zone may use. */
  readonly addresses: (availabilityZone: string | undefined) => AddressAnswer;
  readonly maximumBodyBytes: number;
  readonly bodyTimeoutMilliseconds: number;
  readonly timer: TimerService;
}

/** Creates the routes of the caller API. */
export function createCallerRoutes(
  options: CallerRoutesOptions,
): readonly Route[] {
  return [
    {
      method: "GET",
      path: "/v1/addresses",
      handle: (exchange) => answerAddresses(exchange, options),
    },
    {
      method: "POST",
      path: "/v1/requests",
      handle: (exchange) => submit(exchange, options),
    },
    {
      method: "GET",
      path: "/v1/requests/by-key/:idempotencyKey",
      handle: (exchange) => findByIdempotencyKey(exchange, options),
    },
    {
      method: "GET",
      path: "/v1/requests/:requestId/stream",
      handle: (exchange) => resumeStream(exchange, options),
    },
    {
      method: "DELETE",
      path: "/v1/requests/:requestId",
      handle: (exchange) => cancel(exchange, options),
    },
  ];
}

async function answerAddresses(
  exchange: HttpExchange,
  options: CallerRoutesOptions,
): Promise<void> {
  authenticate(exchange, options);
  const zone = exchange.url.searchParams.get("zone") ?? undefined;
  sendJson(exchange.response, options.addresses(zone));
}

async function submit(
  exchange: HttpExchange,
  options: CallerRoutesOptions,
): Promise<void> {
  if (options.configuration.current() === undefined) {
    // The caller cannot be authenticated, but a resubmission may already have
    // run, so the error must not claim that it did not.
    const { resubmission } = await readSubmission(exchange, options);
    const error = createNoConfigurationError();
    throw resubmission ? withoutNotRun(error) : error;
  }
  // Check the key against the revision being fetched, not the previous one.
  await options.waitForConfiguration();
  const account = authenticate(exchange, options);
  const request = await readSubmission(exchange, options);
  // Do not run the request of a caller that has disconnected meanwhile.
  if (exchange.response.destroyed) return;
  const context = options.requests.submit(account, request);
  follow(exchange, options, { context, offset: request.resumeOffset });
}

async function readSubmission(
  exchange: HttpExchange,
  options: CallerRoutesOptions,
): Promise<SubmitRequest> {
  const text = await readBody(exchange.request, {
    maximumBytes: options.maximumBodyBytes,
    timeoutMilliseconds: options.bodyTimeoutMilliseconds,
    timer: options.timer,
  });
  const parsed = submitRequestSchema.safeParse(parseJsonBody(text));
  if (parsed.success) return parsed.data;
  const problems = parsed.error.issues.map((issue) =>
    `${issue.path.join(".") || "(root)"}: ${issue.message}`
  );
  throw new KelpsparError(
    "malformed_request",
    `Cannot take the request: ${problems.join("; ")}`,
  );
}

async function resumeStream(
  exchange: HttpExchange,
  options: CallerRoutesOptions,
): Promise<void> {
  const context = findRequest(exchange, options);
  const offset = Number(exchange.url.searchParams.get("offset") ?? 0);
  if (!Number.isSafeInteger(offset) || offset < 0) {
    throw new KelpsparError(
      "malformed_request",
      "Cannot attach: the offset is not a whole number from 0",
    );
  }
  follow(exchange, options, { context, offset });
}

async function cancel(
  exchange: HttpExchange,
  options: CallerRoutesOptions,
): Promise<void> {
  const context = findRequest(exchange, options);
  options.requests.cancel(context, "its caller asked for it");
  sendJson(exchange.response, { requestId: context.requestId });
}

async function findByIdempotencyKey(
  exchange: HttpExchange,
  options: CallerRoutesOptions,
): Promise<void> {
  const account = authenticate(exchange, options);
  const key = exchange.parameters["idempotencyKey"] ?? "";
  const found = await options.lookup.find(account, key);
  if ("context" in found) {
    follow(exchange, options, { context: found.context, offset: 0 });
    return;
  }
  const stored = createStoredAnswer(found.result);
  streamAnswer(stored.log, exchange.response, {
    accepted: {
      type: "accepted",
      requestId: stored.requestId,
      daemon: options.incarnation,
    },
    offset: 0,
    timer: options.timer,
  });
}

function follow(
  exchange: HttpExchange,
  options: CallerRoutesOptions,
  answer: { readonly context: RequestContext; readonly offset: number },
): void {
  const { context, offset } = answer;
  const { response } = exchange;
  streamAnswer(context.log, response, {
    accepted: {
      type: "accepted",
      requestId: context.requestId,
      daemon: options.incarnation,
    },
    offset,
    timer: options.timer,
  });
  response.on("close", () => options.requests.onReaderDisconnected(context));
}

function authenticate(
  exchange: HttpExchange,
  options: CallerRoutesOptions,
): AccountConfiguration {
  if (options.configuration.current() === undefined) {
    throw createNoConfigurationError();
  }
  const key = bearerKey(exchange.request);
  const account = key === undefined
    ? undefined
    : options.configuration.accountOfKey(key);
  if (account !== undefined) return account;
  throw new KelpsparError(
    "unknown_caller_key",
    "No client account has this caller key",
  );
}

function createNoConfigurationError(): KelpsparError {
  return new KelpsparError(
    "no_configuration",
    "The daemon has no configuration yet",
  );
}

function findRequest(
  exchange: HttpExchange,
  options: CallerRoutesOptions,
): RequestContext {
  const account = authenticate(exchange, options);
  const requestId = exchange.parameters["requestId"] ?? "";
  const context = options.registry.find(requestId, account.id);
  if (context !== undefined) return context;
  throw new KelpsparError(
    "request_not_found",
    `No request "${requestId}" of this client account is known here`,
  );
}

import type { DaemonExchange } from "../transport/daemon_exchange.ts";
import type { ClientRequest } from "./client_request.ts";
import type { StepKind } from "./step.ts";

/** Inputs of a run's exchanges. */
export interface ExchangeInput {
  readonly request: ClientRequest;
  readonly key: string | undefined;
  /** True when the request was submitted before and may have run. */
  readonly isResubmission: boolean;
  readonly requestId: string | undefined;
  /** The offset of the first missing character, in UTF-16 code units. */
  readonly offset: number;
  /** Milliseconds until the deadline. */
  readonly remaining: number;
}

type PlainExchange = Pick<DaemonExchange, "method" | "path" | "body">;

const EXCHANGES: Readonly<
  Record<StepKind, (input: ExchangeInput) => PlainExchange>
> = {
  submit: ({ request, key, isResubmission, remaining }) => ({
    method: "POST",
    path: "/v1/requests",
    body: {
      ...request,
      idempotencyKey: key,
      resubmission: isResubmission && key !== undefined ? true : undefined,
      deadlineMilliseconds: Math.floor(remaining),
    },
  }),
  attach: ({ requestId = "", offset }) => ({
    method: "GET",
    path: `/v1/requests/${
      encodeURIComponent(requestId)
    }/stream?offset=${offset}`,
  }),
  look_up: ({ key = "" }) => ({
    method: "GET",
    path: `/v1/requests/by-key/${encodeURIComponent(key)}`,
  }),
};

/** Creates the exchange for a step. */
export function toExchange(
  kind: StepKind,
  input: ExchangeInput,
): PlainExchange {
  return EXCHANGES[kind](input);
}

import type { DaemonExchange } from "../transport/daemon_exchange.ts";
import type { ClientRequest } from "./client_request.ts";
import type { StepKind } from "./step.ts";

/** What the exchanges of a run are made from. */
export interface ExchangeParts {
  readonly request: ClientRequest;
  readonly key: string | undefined;
  /** True when the request was submitted before and may have run. */
  readonly isResubmission: boolean;
  readonly requestId: string | undefined;
  /** The first offset that is missing. */
  readonly offset: number;
  /** Milliseconds until the deadline. */
  readonly remaining: number;
}

type PlainExchange = Pick<DaemonExchange, "method" | "path" | "body">;

const EXCHANGES: Readonly<
  Record<StepKind, (parts: ExchangeParts) => PlainExchange>
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

/** The exchange that a step makes. */
export function toExchange(
  kind: StepKind,
  parts: ExchangeParts,
): PlainExchange {
  return EXCHANGES[kind](parts);
}

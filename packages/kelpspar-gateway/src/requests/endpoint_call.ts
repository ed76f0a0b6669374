import type { Readable } from "node:stream";
import type { EndpointEntry } from "../endpoints/endpoint_entry.ts";
import type { ListeningState } from "../exchange/check_listening.ts";
import type { ServingRequest } from "./serving_request.ts";

/** A request on its way to an endpoint. */
export interface EndpointCall {
  readonly endpoint: EndpointEntry;
  readonly request: ServingRequest;
  /** Time that the endpoint may work. */
  readonly remainingMilliseconds: number;
  /** Name of the caller's client account, if the caller proved one. */
  readonly account: string | undefined;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Handles of the results that the request reads; undefined without stages. */
  readonly inputs: readonly string[] | undefined;
  /** The last event that the caller has. */
  readonly lastEventId: string | undefined;
  /** `address:port` of an endpoint that has read this prompt. */
  readonly promptSource: string | undefined;
  readonly signal: AbortSignal;
}

/** How an endpoint answered. */
export type EndpointAnswer =
  /** Status and body are the endpoint's own and proved to be so. */
  | {
    readonly type: "answered";
    readonly status: number;
    /** Names and values in turn, without those of one connection only. */
    readonly headers: readonly string[];
    /** Ends with an error when the body was cut. */
    readonly body: Readable;
    /** Closes the connection, whatever is still under way. */
    readonly close: () => void;
  }
  /** The endpoint says that it didn't run the request. */
  | { readonly type: "not_run"; readonly refusal: EndpointRefusal }
  /** Nothing was sent: no connection came about. */
  | {
    readonly type: "unreachable";
    readonly reason: string;
    /** Nothing listens there; else no connection came about in time. */
    readonly isRefused: boolean;
  }
  /** It was sent, and may have run or not. */
  | { readonly type: "unknown"; readonly reason: string };

/** Why an endpoint didn't run a request. */
export type EndpointRefusal =
  | "full"
  /** Another endpoint has the address now. */
  | "replaced"
  /** A result that the request reads doesn't exist any more. */
  | "input_gone"
  | "rejected";

/** Sends requests to endpoints. */
export interface EndpointClient {
  /** Never throws. */
  send(call: EndpointCall): Promise<EndpointAnswer>;
  /** Whether an endpoint takes connections; never throws. */
  check(endpoint: EndpointEntry): Promise<ListeningState>;
}

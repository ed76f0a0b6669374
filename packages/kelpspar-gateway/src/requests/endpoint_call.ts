import type { Readable } from "node:stream";
import type { BodyFraming } from "../exchange/body_framing.ts";
import type { EndpointEntry } from "../endpoints/endpoint_entry.ts";
import type { ListeningState } from "../exchange/check_listening.ts";
import type { ServingRequest } from "./serving_request.ts";

/** One call of an endpoint. */
export interface EndpointCall {
  readonly endpoint: EndpointEntry;
  readonly request: ServingRequest;
  /** Time left for the endpoint to answer. */
  readonly remainingMilliseconds: number;
  /** Name of the caller's client account; undefined without a valid key. */
  readonly account: string | undefined;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Handles of the results that the request reads; undefined without stages. */
  readonly inputs: readonly string[] | undefined;
  /** Id of the last event that the caller received; a stream resumes there. */
  readonly lastEventId: string | undefined;
  /** `address:port` of an endpoint that has this prompt cached. */
  readonly promptSource: string | undefined;
  readonly signal: AbortSignal;
}

/** Outcome of an endpoint call. */
export type EndpointAnswer =
  /** Status and body were verified to come from the endpoint that was called. */
  | {
    readonly type: "answered";
    readonly status: number;
    /** Alternating names and values, without hop-by-hop headers. */
    readonly headers: readonly string[];
    readonly framing: BodyFraming;
    /**
     * Emits an error when the body is truncated, unless it is close-delimited
     * and its connection ends regularly.
     */
    readonly body: Readable;
    /** Closes the connection, even while the body is still arriving. */
    readonly close: () => void;
  }
  /** The endpoint declared that it didn't run the request. */
  | { readonly type: "not_run"; readonly refusal: EndpointRefusal }
  /** Nothing was sent because no connection could be established. */
  | {
    readonly type: "unreachable";
    readonly reason: string;
    /** True if nothing listens at the address, false if connecting timed out. */
    readonly isRefused: boolean;
  }
  /** The request was sent and may or may not have run. */
  | { readonly type: "unknown"; readonly reason: string };

/** Why an endpoint didn't run a request. */
export type EndpointRefusal =
  | "full"
  /** Another endpoint now uses the address. */
  | "replaced"
  /** A stage result that the request reads no longer exists. */
  | "input_gone"
  | "rejected"
  /** It can't be sent to any endpoint, e.g. for a header value. */
  | "unsendable";

/** Sends requests to endpoints. */
export interface EndpointClient {
  /** Never throws. */
  send(call: EndpointCall): Promise<EndpointAnswer>;
  /** Checks whether the endpoint accepts connections; never throws. */
  check(endpoint: EndpointEntry): Promise<ListeningState>;
}

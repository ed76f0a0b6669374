import type { PromptPart } from "../requests/serving_request.ts";

/** The part of a request that decides which model endpoint reads it. */
export interface ChainReader {
  readonly service: string;
  /** Parts of its prompt in order; the last one is its own. */
  readonly promptParts: readonly PromptPart[];
  /** Software version that must read it; undefined if any may. */
  readonly version?: string | undefined;
}

/** The endpoint chosen to read a request. */
export interface ReaderPlace {
  readonly endpointId: string;
  /** Endpoint to fetch the cached prompt prefix from, if that is cheaper. */
  readonly promptSourceId?: string | undefined;
  /**
   * The endpoint's limit under which the coordinator placed the request,
   * requests per second; undefined when it knew of none.
   */
  readonly limitPerSecond?: number | undefined;
}

/** Result of placing a request. */
export type Placement =
  | { readonly type: "placed"; readonly place: ReaderPlace }
  /** All endpoints are at their limit; one has capacity after the wait. */
  | { readonly type: "over_limit"; readonly waitMilliseconds: number }
  /** No usable endpoint is known. */
  | { readonly type: "no_endpoint" };

import type { PromptPart } from "../requests/serving_request.ts";

/** A request that a model endpoint reads, as far as its place matters. */
export interface ChainReader {
  readonly service: string;
  /** Parts of its prompt in order; the last one is its own. */
  readonly promptParts: readonly PromptPart[];
}

/** Where a request is to be read. */
export interface ReaderPlace {
  readonly endpointId: string;
  /** Endpoint to fetch the beginning of the prompt from, if that is cheaper. */
  readonly promptSourceId?: string | undefined;
  /**
   * The limit of the endpoint within which the coordinator placed the request,
   * requests a second; undefined when it knew of none.
   */
  readonly limitPerSecond?: number | undefined;
}

/** What became of a request that was to be placed. */
export type Placement =
  | { readonly type: "placed"; readonly place: ReaderPlace }
  /** All endpoints have got what they take; one takes more after the wait. */
  | { readonly type: "over_limit"; readonly waitMilliseconds: number }
  /** No endpoint is known that may be used. */
  | { readonly type: "no_endpoint" };

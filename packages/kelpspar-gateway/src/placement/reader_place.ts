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
}

/** What an endpoint says of itself: the answer of `GET /v1/load`. */
export interface LoadReport {
  /** Changes when the endpoint's process starts anew. */
  readonly incarnation: string;
  /** Grows with each report of an incarnation. */
  readonly sequence: number;
  readonly state: "loading" | "ready" | "leaving";
  readonly running: number;
  readonly waiting: number;
  /** Calls it runs at a time. */
  readonly concurrency: number;
  /** Calls accepted since the incarnation began; tells how old a report is. */
  readonly accepted: number;
  readonly queuedTokens: number;
  /** Models that are loaded and ready, with their version. */
  readonly models: Readonly<Record<string, string>>;
  readonly adapters: readonly string[];
  readonly role: EndpointRole;
}

/** What part of generation an engine takes. */
export type EndpointRole = "any" | "prefill" | "decode" | "service";

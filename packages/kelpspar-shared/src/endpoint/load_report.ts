/** An endpoint's report of its load: the response body of `GET /v1/load`. */
export interface LoadReport {
  /** Changes when the endpoint's process restarts. */
  readonly incarnation: string;
  /** Increases with each report of an incarnation. */
  readonly sequence: number;
  readonly state: "loading" | "ready" | "leaving";
  readonly running: number;
  readonly waiting: number;
  /** Number of calls that it runs at a time. */
  readonly concurrency: number;
  /**
   * Calls accepted since the incarnation started; shows how old a report is.
   */
  readonly accepted: number;
  readonly queuedTokens: number;
  /** Models that are loaded and ready, with their version. */
  readonly models: Readonly<Record<string, string>>;
  readonly adapters: readonly string[];
  readonly role: EndpointRole;
}

/** The part of generation that an engine runs. */
export type EndpointRole = "any" | "prefill" | "decode" | "service";

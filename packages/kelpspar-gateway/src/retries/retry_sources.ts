/** What reached the endpoints of a service for the first time. */
export interface RetrySources {
  /** Number of requests of callers. */
  readonly requests: number;
  /** Number of pieces of stages. */
  readonly pieces: number;
}

/** First sends to a service, with which its retries are compared. */
export interface FirstSends {
  /** Number of requests of callers. */
  readonly requests: number;
  /** Number of pieces of stages. */
  readonly pieces: number;
}

/** Phase of a daemon's life. The phases follow each other in this order. */
export type DaemonPhase =
  | "serving"
  /** Told to stop; callers with outdated addresses still connect. */
  | "leaving"
  /** Accepts no connections; requests on open ones are still answered. */
  | "closing"
  /** Refuses all requests; the process is about to exit. */
  | "ending";

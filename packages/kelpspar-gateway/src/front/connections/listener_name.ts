/** What a server of the daemon listens for. */
export type ListenerName =
  | "front"
  | "control"
  | "directory"
  | "ready"
  | "metrics";

/** A listener of a daemon. */
export type CrowdPort =
  | "front"
  | "directory"
  | "ready"
  | "control"
  | "metrics";

/** Targets that a crowd calls at each listener, in rotation. */
export const PORT_TARGETS: Readonly<Record<CrowdPort, readonly string[]>> = {
  front: ["/once/x"],
  directory: ["/-/resolve?name=x&region=r&zone=a"],
  ready: ["/-/ready"],
  control: ["/relay", "/peer/exchange"],
  metrics: ["/metrics"],
};

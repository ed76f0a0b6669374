/** Header that tells who gave a relayed answer. */
export const RELAY_ORIGIN_HEADER = "kelpspar-answer-of";

/** Who gave a relayed answer: an endpoint, or the daemon that was asked. */
export type RelayOrigin = "endpoint" | "daemon";

/** Which limit of a body or an event was exceeded. */
export type BodyLimitReason =
  /** A body that is read whole has too many bytes. */
  | "oversized_body"
  /** A body that is read whole takes too long. */
  | "slow_body"
  /** An event of a stream has too many bytes without its end. */
  | "endless_event"
  /** An event of a stream takes too long from its first byte to its end. */
  | "slow_event"
  /** The largest of all unfinished bodies and events, which hold too much. */
  | "memory";

/** An answer was given up since it exceeds a limit; its connection is closed. */
export class BodyLimitError extends Error {
  override readonly name = "BodyLimitError";
  readonly reason: BodyLimitReason;

  constructor(reason: BodyLimitReason) {
    super(`Answer given up: it exceeds a limit (${reason})`);
    this.reason = reason;
  }
}

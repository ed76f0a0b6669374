/** One event of a stream. */
export interface StreamEvent {
  readonly id: number;
  /** Software version that wrote it. */
  readonly version: string;
}

/** One attempt of a caller. */
export interface StreamAttempt {
  readonly attemptId: string;
  /** Undefined if no daemon accepted the connection or answered. */
  readonly status: number | undefined;
  /** Time from the accepted connection to the status. */
  readonly statusMilliseconds: number;
  /**
   * Time of an answer without work that the daemon was asked for beside it; 0
   * without one.
   */
  readonly readyMilliseconds: number;
  readonly events: readonly StreamEvent[];
  /** Whether it took the stream up after its first event. */
  readonly isResumed: boolean;
}

/** What a caller has of one stream, over all of its attempts. */
export interface StreamRecord {
  /** Whether it began after the first kill. */
  readonly isNew: boolean;
  readonly attempts: readonly StreamAttempt[];
}

/** All events of a stream in the order of their arrival. */
export function eventsOf(stream: StreamRecord): readonly StreamEvent[] {
  return stream.attempts.flatMap(({ events }) => events);
}

/** Software versions whose events a stream contains. */
export function versionsOf(stream: StreamRecord): readonly string[] {
  return [...new Set(eventsOf(stream).map(({ version }) => version))];
}

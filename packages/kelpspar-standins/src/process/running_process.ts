/** How a process ended. */
export interface ProcessExit {
  /** Null when a signal ended it. */
  readonly code: number | null;
  readonly signal: string | null;
}

/** A process that listens. */
export interface RunningProcess {
  readonly name: string;
  readonly processId: number;
  /** What its listening line said, such as ports. */
  readonly listening: Readonly<Record<string, unknown>>;
  /** Its last lines of output and of errors. */
  readonly lastLines: readonly string[];
  readonly exited: Promise<ProcessExit>;
  /** Calls `listener` for each further line of output. */
  registerLine(listener: (line: string) => void): () => void;
  /** Ends it gracefully (SIGTERM) and waits. */
  stop(): Promise<ProcessExit>;
  /** Ends it without warning (SIGKILL) and waits. */
  kill(): Promise<ProcessExit>;
  /** Pauses it (SIGSTOP). */
  pause(): void;
  /** Lets it go on (SIGCONT). */
  continue(): void;
}

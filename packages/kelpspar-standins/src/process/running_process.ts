/** How a process ended. */
export interface ProcessExit {
  /** Null when a signal ended it. */
  readonly code: number | null;
  readonly signal: string | null;
}

/** A started process that listens for connections. */
export interface RunningProcess {
  readonly name: string;
  readonly processId: number;
  /** Content of its listening line, such as ports. */
  readonly listening: Readonly<Record<string, unknown>>;
  /** The last lines of its standard output and standard error. */
  readonly lastLines: readonly string[];
  readonly exited: Promise<ProcessExit>;
  /** Calls `listener` for each new line of output. Returns its teardown. */
  registerLine(listener: (line: string) => void): () => void;
  /** Stops the process gracefully (SIGTERM) and waits for its exit. */
  stop(): Promise<ProcessExit>;
  /** Kills the process (SIGKILL) and waits for its exit. */
  kill(): Promise<ProcessExit>;
  /** Pauses the process (SIGSTOP). */
  pause(): void;
  /** Continues a paused process (SIGCONT). */
  continue(): void;
}

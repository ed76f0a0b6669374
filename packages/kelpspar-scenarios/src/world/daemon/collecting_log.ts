import type { DaemonLog } from "kelpspar-daemon";

/** Keeps what a daemon reports as errors; drops the rest. */
export class CollectingLog implements DaemonLog {
  readonly errors: string[] = [];

  error(message: string, details: object = {}): void {
    this.errors.push(`${message} ${JSON.stringify(details)}`);
  }

  warn(): void {}

  info(): void {}

  debug(): void {}
}

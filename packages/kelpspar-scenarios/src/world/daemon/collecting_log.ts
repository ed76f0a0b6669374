import type { DaemonLog } from "kelpspar-daemon";

/** Records the errors that a daemon logs and discards other messages. */
export class CollectingLog implements DaemonLog {
  readonly errors: string[] = [];

  error(message: string, details: object = {}): void {
    this.errors.push(`${message} ${JSON.stringify(details)}`);
  }

  warn(): void {}

  info(): void {}

  debug(): void {}
}

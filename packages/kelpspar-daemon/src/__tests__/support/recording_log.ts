import type { DaemonLog, LogDetails } from "../../log/daemon_log.ts";

/** A log that prints nothing and records errors for assertions. */
export class RecordingLog implements DaemonLog {
  readonly errors: { readonly message: string; readonly details: unknown }[] =
    [];

  error(message: string, details?: LogDetails): void {
    this.errors.push({ message, details });
  }

  warn(): void {}

  info(): void {}

  debug(): void {}
}

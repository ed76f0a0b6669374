import type { DaemonLog, LogDetails } from "../../log/daemon_log.ts";

/** A log that prints nothing and keeps what a test may look for. */
export class QuietLog implements DaemonLog {
  readonly errors: { readonly message: string; readonly details: unknown }[] =
    [];

  error(message: string, details?: LogDetails): void {
    this.errors.push({ message, details });
  }

  warn(): void {}

  info(): void {}

  debug(): void {}
}

import type { SiteDaemon } from "../../site/site_daemon.ts";

/** A log message of the daemons and its count. */
export interface LoggedMessage {
  count: number;
  /** The first log line with this message. */
  readonly example: string;
}

/** Counts the warnings and errors that daemons log, by message. */
export class DaemonLogRecorder {
  readonly #messages = new Map<string, LoggedMessage>();

  /** Records the lines that a daemon logs from now on. */
  follow(daemon: SiteDaemon): void {
    daemon.process.registerLine((line) => {
      const name = nameOf(line);
      const known = this.#messages.get(name);
      if (known !== undefined) known.count++;
      else this.#messages.set(name, { count: 1, example: line });
    });
  }

  /** Count and first line by message. */
  get messages(): Readonly<Record<string, LoggedMessage>> {
    return Object.fromEntries(this.#messages);
  }
}

function nameOf(line: string): string {
  try {
    const { message } = JSON.parse(line) as { readonly message?: unknown };
    return typeof message === "string" ? message : "other";
  } catch {
    return "not JSON";
  }
}

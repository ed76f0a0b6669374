import type { SiteDaemon } from "../../site/site_daemon.ts";

/** What a daemon logged, and how often. */
export interface LoggedMessage {
  count: number;
  /** The first line of it. */
  readonly example: string;
}

/** Warnings and errors of the daemons, by message. */
export class LogBook {
  readonly #messages = new Map<string, LoggedMessage>();

  /** Reads what a daemon logs from now on. */
  follow(daemon: SiteDaemon): void {
    daemon.process.registerLine((line) => {
      const name = nameOf(line);
      const known = this.#messages.get(name);
      if (known !== undefined) known.count++;
      else this.#messages.set(name, { count: 1, example: line });
    });
  }

  /** Each message, with its count and its first line. */
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

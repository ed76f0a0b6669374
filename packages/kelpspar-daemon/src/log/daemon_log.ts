import type { LogLevel } from "consola";
import type { Settings } from "../settings/settings_schema.ts";
import type { KelpsparError } from "kelpspar-shared";
import { createConsola } from "consola";

/** Writes structured log lines. */
export interface DaemonLog {
  error(message: string, details?: LogDetails): void;
  warn(message: string, details?: LogDetails): void;
  info(message: string, details?: LogDetails): void;
  debug(message: string, details?: LogDetails): void;
}

/** Structured fields of a log line; never contain text of callers. */
export type LogDetails = Readonly<
  Record<string, string | number | boolean | undefined>
>;

const CONSOLA_LEVELS: Readonly<Record<Settings["log"]["level"], LogLevel>> = {
  error: 0,
  warn: 1,
  info: 3,
  debug: 4,
};

const JSON_REPORTER = {
  log: (line: {
    readonly type: string;
    readonly date: Date;
    readonly args: readonly unknown[];
  }): void => {
    const [message, details] = line.args;
    const time = line.date.toISOString();
    const record = { time, level: line.type, message, ...details as object };
    process.stderr.write(JSON.stringify(record) + "\n");
  },
};

/** Creates a log that writes to standard error through consola. */
export function createDaemonLog(
  settings: Settings["log"],
  baseDetails: LogDetails = {},
): DaemonLog {
  const consola = createConsola({
    level: CONSOLA_LEVELS[settings.level],
    stdout: process.stderr,
    ...(settings.format === "json" ? { reporters: [JSON_REPORTER] } : {}),
  });
  return {
    error: (message, details) =>
      consola.error(message, { ...baseDetails, ...details }),
    warn: (message, details) =>
      consola.warn(message, { ...baseDetails, ...details }),
    info: (message, details) =>
      consola.info(message, { ...baseDetails, ...details }),
    debug: (message, details) =>
      consola.debug(message, { ...baseDetails, ...details }),
  };
}

/** The log fields that describe an error. */
export function errorDetails(error: KelpsparError): LogDetails {
  return { code: error.code, result: error.result, reason: error.message };
}

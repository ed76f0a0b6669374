/** Fields of a log line; never text from callers. */
export type LogFields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/** Structured log with one line for each decision. */
export interface GatewayLog {
  info(message: string, fields?: LogFields): void;
  warn(message: string, fields?: LogFields): void;
}

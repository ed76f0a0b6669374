/** What a log line says besides its message; never text of callers. */
export type LogFields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/** One structured line for each decision. */
export interface GatewayLog {
  info(message: string, fields?: LogFields): void;
  warn(message: string, fields?: LogFields): void;
}

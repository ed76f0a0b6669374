export type { CliContext } from "./cli_context.ts";
export type { Output } from "./output/output.ts";
export { runCli } from "./run_cli.ts";

import type { CliContext } from "../cli_context.ts";
import type { CliCommand } from "./cli_command.ts";
import { command, positional, restPositionals, string } from "cmd-ts";
import { jsonFlag } from "../arguments/json_flag.ts";
import { explainRequest } from "../explain/explain_request.ts";
import { formatTimeline } from "../explain/format_timeline.ts";
import { parseLogLine } from "../explain/log_line.ts";
import { runCommand } from "./run_command.ts";

const STANDARD_INPUT = "/dev/stdin";

/**
 * `kelpspar explain REQUEST_ID [LOG...]`; the id is that of an attempt, or the
 * fingerprint of a request.
 */
export function createExplainCommand(context: CliContext): CliCommand {
  return command({
    name: "explain",
    description: "Show the timeline of a request from daemon logs",
    args: {
      id: positional({ type: string, displayName: "REQUEST_ID" }),
      files: restPositionals({ type: string, displayName: "LOG" }),
      json: jsonFlag,
    },
    handler: ({ id, files, json }) =>
      runCommand({ context, json }, async () => {
        const paths = files.length === 0 ? [STANDARD_INPUT] : files;
        const texts = await Promise.all(paths.map(context.readFile));
        const lines = texts.flatMap((text) => text.split("\n"))
          .flatMap((text) => parseLogLine(text) ?? []);
        const timeline = explainRequest(id, lines);
        return { data: timeline, text: formatTimeline(timeline) };
      }),
  });
}

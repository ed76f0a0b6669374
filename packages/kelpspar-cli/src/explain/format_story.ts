import type { LogLine } from "./log_line.ts";
import type { RequestStory } from "./explain_request.ts";

/** Fields that each line begins with or that say nothing more. */
const SHOWN_APART: ReadonlySet<string> = new Set([
  "time",
  "level",
  "message",
  "daemon",
  "attempt",
  "at",
]);

/** A story as text for a person. */
export function formatStory(story: RequestStory): string {
  if (story.own.length === 0) {
    return `No line names request "${story.attempt}"`;
  }
  return [
    `Request ${story.attempt}`,
    ...story.own.map(formatLine),
    "",
    "What its daemons learned around it",
    ...story.around.map(formatLine),
  ].join("\n");
}

function formatLine(line: LogLine): string {
  const fields = Object.entries(line)
    .filter(([name]) => !SHOWN_APART.has(name))
    .map(([name, value]) => `${name}=${String(value)}`);
  const clock = line.time.slice(11, 23);
  return `  ${clock} ${line.daemon} ${line.message}: ${fields.join(" ")}`;
}

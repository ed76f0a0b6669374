import type { LogLine } from "./log_line.ts";
import type { RequestStory } from "./explain_request.ts";

/** Fields that each line begins with or that say nothing more. */
const SHOWN_APART: ReadonlySet<string> = new Set([
  "time",
  "level",
  "message",
  "daemon",
  "at",
]);

/** A story as text for a person. */
export function formatStory(story: RequestStory): string {
  if (story.own.length === 0) {
    return `No line names request "${story.id}"`;
  }
  return [
    `Request ${story.id}`,
    ...story.own.map((line) => formatLine(line, story.id)),
    "",
    "What its daemons learned around it",
    ...story.around.map((line) => formatLine(line, story.id)),
  ].join("\n");
}

function formatLine(line: LogLine, id: string): string {
  const fields = Object.entries(line)
    .filter(([name, value]) => !SHOWN_APART.has(name) && value !== id)
    .map(([name, value]) => `${name}=${String(value)}`);
  const clock = line.time.slice(11, 23);
  return `  ${clock} ${line.daemon} ${line.message}: ${fields.join(" ")}`;
}

import type { LogLine } from "./log_line.ts";

/** Ids of the prompt's parts that a line names. */
export function partsOf({ parts = "" }: LogLine): readonly string[] {
  return parts === "" ? [] : parts.split(",");
}

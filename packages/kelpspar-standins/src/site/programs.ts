import { fileURLToPath } from "node:url";

/** Paths of the built programs that a site starts. */
export const PROGRAMS = {
  platform: resolveBuiltProgram(
    "../../../kelpspar-standins/dist/programs/platform_main.js",
  ),
  endpoint: resolveBuiltProgram(
    "../../../kelpspar-standins/dist/programs/endpoint_main.js",
  ),
  daemon: resolveBuiltProgram("../../../kelpspar-daemon/dist/main.js"),
  /** Replaces the daemon in experiments. */
  naive: resolveBuiltProgram(
    "../../../kelpspar-standins/dist/programs/naive_main.js",
  ),
} as const;

/** Resolves a path that is valid from both `src/site` and `dist/site`. */
function resolveBuiltProgram(path: string): string {
  return fileURLToPath(new URL(path, import.meta.url));
}

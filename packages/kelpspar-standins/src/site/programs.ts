import { fileURLToPath } from "node:url";

/** The built programs that a site starts. */
export const PROGRAMS = {
  platform: built("../../../kelpspar-standins/dist/programs/platform_main.js"),
  endpoint: built("../../../kelpspar-standins/dist/programs/endpoint_main.js"),
  daemon: built("../../../kelpspar-daemon/dist/main.js"),
  /** Takes a daemon's place in experiments. */
  naive: built("../../../kelpspar-standins/dist/programs/naive_main.js"),
} as const;

/** Works from `src/site` and from `dist/site` alike. */
function built(path: string): string {
  return fileURLToPath(new URL(path, import.meta.url));
}

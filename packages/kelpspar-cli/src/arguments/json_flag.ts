import { boolean, flag } from "cmd-ts";

/** The `--json` flag of every command. */
export const jsonFlag = flag({
  long: "json",
  type: boolean,
  description: "Print JSON for other programs",
});

import { boolean, flag } from "cmd-ts";

/** `--json`, which every command takes. */
export const jsonFlag = flag({
  long: "json",
  type: boolean,
  description: "Print JSON for other programs",
});

import { optional, positional, string } from "cmd-ts";

/** The files of a configuration. */
export const fileArguments = {
  base: positional({
    displayName: "BASE",
    type: string,
    description: "The base configuration file",
  }),
  overlay: positional({
    displayName: "OVERLAY",
    type: optional(string),
    description: "The site's overlay, merged into the base",
  }),
};

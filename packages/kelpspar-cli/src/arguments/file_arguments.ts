import { optional, positional, string } from "cmd-ts";

/** The files that make a configuration. */
export const fileArguments = {
  base: positional({
    displayName: "BASE",
    type: string,
    description: "The base configuration file",
  }),
  overlay: positional({
    displayName: "OVERLAY",
    type: optional(string),
    description: "The site's overlay, laid on the base",
  }),
};

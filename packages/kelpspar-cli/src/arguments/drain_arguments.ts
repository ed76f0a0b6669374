import { oneOf, positional, string } from "cmd-ts";

/** The arguments that identify the target of a drain. */
export const drainArguments = {
  kind: positional({
    displayName: "KIND",
    type: oneOf(["endpoint", "daemon"] as const),
    description: "endpoint or daemon",
  }),
  id: positional({
    displayName: "ID",
    type: string,
    description: "Its id, as shown by endpoints or status",
  }),
};

import { KelpsparError } from "kelpspar-shared";
import { z } from "zod";

/** Validates a daemon's answer. Throws KelpsparError, `peer_unavailable`. */
export function readAnswer<Schema extends z.ZodType>(
  schema: Schema,
  answer: unknown,
): z.infer<Schema> {
  const parsed = schema.safeParse(answer);
  if (parsed.success) return parsed.data;
  throw new KelpsparError(
    "peer_unavailable",
    `Cannot read the daemon's answer: ${z.prettifyError(parsed.error)}`,
  );
}

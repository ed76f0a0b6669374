import { KelpsparError } from "kelpspar-shared";
import { z } from "zod";

/** Checks what a daemon answered. Throws KelpsparError. */
export function readAnswer<Schema extends z.ZodType>(
  schema: Schema,
  answer: unknown,
): z.infer<Schema> {
  const parsed = schema.safeParse(answer);
  if (parsed.success) return parsed.data;
  throw new KelpsparError(
    "peer_unavailable",
    `A daemon's answer has another form: ${z.prettifyError(parsed.error)}`,
  );
}

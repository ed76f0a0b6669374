import { z } from "zod";

/** Ids: letters, digits, dots, dashes and underscores. */
export const identifierSchema = z.string().min(1).max(100).regex(
  /^[A-Za-z0-9._-]+$/,
  "Ids are letters, digits, dots, dashes and underscores",
);

/** A SHA-256 hash in hexadecimal. */
export const keyHashSchema = z.string().regex(
  /^[0-9a-f]{64}$/,
  "A key hash is a SHA-256 in 64 hexadecimal digits",
);

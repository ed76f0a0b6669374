const TAG_PATTERN = /(?<!\S)tokens?=[^\s]+/g;
const TOKEN_PATTERN = /(?<!\S)token=([^\s]+)/;
const TOKENS_PATTERN = /(?<!\S)tokens=([0-9]+)(?!\S)/;

/**
 * The `token=…` and `tokens=…` words of an input, joined by blanks. Every
 * stage repeats them, so that a caller can tell its own answer.
 */
export function readTags(input: string): string {
  return (input.match(TAG_PATTERN) ?? []).join(" ");
}

/** The request's `token=…`; undefined when the input has none. */
export function readToken(input: string): string | undefined {
  return TOKEN_PATTERN.exec(input)?.[1];
}

/** The output tokens that the input asks for by `tokens=N`. */
export function readTokensWanted(input: string): number | undefined {
  const text = TOKENS_PATTERN.exec(input)?.[1];
  return text === undefined ? undefined : Number(text);
}

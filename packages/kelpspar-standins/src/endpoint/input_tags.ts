const TAG_PATTERN = /(?<!\S)tokens?=[^\s]+/g;
const TOKEN_PATTERN = /(?<!\S)token=([^\s]+)/;
const TOKENS_PATTERN = /(?<!\S)tokens=([0-9]+)(?!\S)/;

/**
 * The `token=…` and `tokens=…` tags of an input, joined by spaces. Every stage
 * repeats them in its output, so that callers can identify their answers.
 */
export function readTags(input: string): string {
  return (input.match(TAG_PATTERN) ?? []).join(" ");
}

/** The value of the `token=…` tag; undefined when the input has none. */
export function readToken(input: string): string | undefined {
  return TOKEN_PATTERN.exec(input)?.[1];
}

/** The number of output tokens requested by `tokens=N`, if any. */
export function readRequestedTokens(input: string): number | undefined {
  const text = TOKENS_PATTERN.exec(input)?.[1];
  return text === undefined ? undefined : Number(text);
}

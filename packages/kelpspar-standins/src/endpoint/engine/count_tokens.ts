const CHARACTERS_PER_TOKEN = 4;

/** Estimates the number of tokens of a text. */
export function countTokens(text: string): number {
  return Math.ceil(text.length / CHARACTERS_PER_TOKEN);
}

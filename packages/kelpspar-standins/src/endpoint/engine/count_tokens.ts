const CHARACTERS_A_TOKEN = 4;

/** About how many tokens a text is. */
export function countTokens(text: string): number {
  return Math.ceil(text.length / CHARACTERS_A_TOKEN);
}

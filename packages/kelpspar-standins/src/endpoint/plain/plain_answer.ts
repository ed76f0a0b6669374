import { sha256 } from "kelpspar-shared";
import { readTags } from "../input_tags.ts";

const HASH_DIGITS = 8;

/**
 * The answer of a plain service: its marker with a hash of the input, the
 * input's tags and padding.
 */
export function plainAnswer(
  marker: string,
  input: string,
  options: { readonly paddingWords?: number } = {},
): string {
  const hash = sha256(input).slice(0, HASH_DIGITS);
  const words = [`${marker}(${hash})`];
  const tags = readTags(input);
  if (tags !== "") words.push(tags);
  const padding = options.paddingWords ?? 0;
  for (let index = 0; index < padding; index++) words.push(`passage${index}`);
  return words.join(" ");
}

import { SeededRandom, sha256 } from "kelpspar-shared";
import { readTags } from "../input_tags.ts";

const HASH_DIGITS = 8;

/** Some lie outside ASCII, one takes two UTF-16 units. */
const WORDS: readonly string[] = [
  "lime",
  "spread",
  "field",
  "rate",
  "acre",
  "niño",
  "crédito",
  "clause",
  "amend",
  "🌾",
  "before",
  "soil",
  "freeze",
  "truck",
  "date",
  "plan",
];

/**
 * The tokens of an engine's answer. They follow from the model, the input and
 * their number alone, so that two engines continue the same text. The first
 * one carries a hash of model and input, and the input's tags.
 */
export function engineTokens(
  model: string,
  input: string,
  tokens: number,
): string[] {
  const hash = sha256(`${model}\n${input}`).slice(0, HASH_DIGITS);
  const random = new SeededRandom(Number.parseInt(hash, 16) | 0);
  const tags = readTags(input);
  const head = `generated(${model},${hash})`;
  const words = [tags === "" ? head : `${head} ${tags}`];
  while (words.length < tokens) {
    words.push(` ${WORDS[random.nextInteger(WORDS.length)]}`);
  }
  return words;
}

/** The whole text of an engine's answer. */
export function engineAnswer(
  model: string,
  input: string,
  tokens: number,
): string {
  return engineTokens(model, input, tokens).join("");
}

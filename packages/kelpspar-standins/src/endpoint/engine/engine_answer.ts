import { SeededRandom, sha256 } from "kelpspar-shared";
import { readTags } from "../input_tags.ts";

const HASH_DIGITS = 8;

/** Some words are not ASCII, and one character takes two UTF-16 units. */
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
 * The tokens of an engine's answer. They depend only on the model, the input
 * and the token count, so that any engine can continue the text of another.
 * The first token contains a hash of model and input, and the input's tags.
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

/** The complete text of an engine's answer. */
export function engineAnswer(
  model: string,
  input: string,
  tokens: number,
): string {
  return engineTokens(model, input, tokens).join("");
}

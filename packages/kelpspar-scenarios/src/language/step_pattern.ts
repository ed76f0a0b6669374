import { StepArguments } from "./step_arguments.ts";

const PLACEHOLDER = /\{(\w+):(\w+)\}/g;
const SPECIAL_CHARACTER = /[.*+?^$()|[\]\\]/g;

const PLACEHOLDER_EXPRESSIONS: Readonly<Record<string, string>> = {
  number: "\\d+",
  ordinal: "\\d+(?:st|nd|rd|th)",
  duration: "\\d+(?:\\.\\d+)? (?:ms|s|min)",
  percent: "\\d+(?:\\.\\d+)?%",
  endpoints: "every [a-z]+|[a-z]+-\\d+",
  name: "[\\w-]+",
  words: "[a-z][\\w -]+?",
};

/**
 * Matches the text of a step against a pattern such as
 * `{count:number} requests arrive over {time:duration}`.
 */
export class StepPattern {
  readonly #expression: RegExp;

  /** Throws an Error for a placeholder of an unknown type. */
  constructor(pattern: string) {
    const source = pattern
      .replace(SPECIAL_CHARACTER, "\\$&")
      .replace(PLACEHOLDER, (_all, name: string, shape: string) => {
        const expression = PLACEHOLDER_EXPRESSIONS[shape];
        if (expression === undefined) {
          throw new Error(`Pattern "${pattern}" has an unknown type`);
        }
        return `(?<${name}>${expression})`;
      });
    this.#expression = new RegExp(`^${source}$`);
  }

  /** Returns the values of the placeholders; undefined if there is no match. */
  match(text: string): StepArguments | undefined {
    const found = this.#expression.exec(text);
    if (found === null) return undefined;
    return new StepArguments({ ...found.groups });
  }
}

const UNIT_MILLISECONDS: Readonly<Record<string, number>> = {
  ms: 1,
  s: 1_000,
  min: 60_000,
};

/** The values of a step's placeholders, by name. */
export class StepArguments {
  readonly #values: Readonly<Record<string, string>>;

  constructor(values: Readonly<Record<string, string>>) {
    this.#values = values;
  }

  text(name: string): string {
    const value = this.#values[name];
    if (value === undefined) throw new Error(`No argument "${name}"`);
    return value;
  }

  number(name: string): number {
    return Number(this.text(name));
  }

  /** An ordinal such as `2nd`. */
  ordinal(name: string): number {
    return Number.parseInt(this.text(name), 10);
  }

  /** A duration such as `500 ms`, `2 s` or `1 min`, in milliseconds. */
  milliseconds(name: string): number {
    const [amount = "", unit = ""] = this.text(name).split(" ");
    return Number(amount) * (UNIT_MILLISECONDS[unit] ?? Number.NaN);
  }

  /** A percentage such as `95%`, as a fraction. */
  share(name: string): number {
    return Number(this.text(name).replace("%", "")) / 100;
  }
}

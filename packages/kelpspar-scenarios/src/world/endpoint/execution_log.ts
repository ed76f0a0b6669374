import type { Execution } from "./execution.ts";

/** Records the calls that the endpoints of a world ran. */
export class ExecutionLog {
  readonly #executions: Execution[] = [];
  readonly #byToken = new Map<string, Execution[]>();

  get all(): readonly Execution[] {
    return this.#executions;
  }

  add(execution: Execution): void {
    this.#executions.push(execution);
    const existing = this.#byToken.get(execution.token);
    if (existing === undefined) this.#byToken.set(execution.token, [execution]);
    else existing.push(execution);
  }

  ofToken(token: string): readonly Execution[] {
    return this.#byToken.get(token) ?? [];
  }
}

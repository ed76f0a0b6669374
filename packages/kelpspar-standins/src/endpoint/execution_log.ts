import type { StageCall } from "kelpspar-shared";
import { readToken } from "./input_tags.ts";

/** One execution of a call. */
export interface Execution {
  readonly requestId: string;
  readonly stageId: string;
  readonly attemptId: string;
  /** Value of the input's `token=…` tag, if any. */
  readonly token?: string;
}

/** Response body of `GET /control/executions`. */
export interface ExecutionReport {
  /** Number of executions by the value of the `token=…` tag. */
  readonly byToken: Readonly<Record<string, number>>;
  readonly byRequest: Readonly<Record<string, number>>;
  readonly executions: number;
  readonly completed: number;
  /** Executions that continued another endpoint's partial text. */
  readonly continued: number;
  /** Calls refused before execution. */
  readonly refused: number;
  /** Partial texts that were not a prefix of the answer. */
  readonly wrongPartialTexts: number;
  readonly runnerMilliseconds: number;
}

/** Counts executions, so that checkers can find duplicate ones. */
export class ExecutionLog {
  readonly #byToken = new Map<string, number>();
  readonly #byRequest = new Map<string, number>();
  readonly #onExecution: (execution: Execution) => void;
  #executions = 0;
  #completed = 0;
  #continued = 0;
  #refused = 0;
  #wrongPartialTexts = 0;
  #runnerMilliseconds = 0;

  constructor(onExecution: (execution: Execution) => void = () => {}) {
    this.#onExecution = onExecution;
  }

  start(call: StageCall): void {
    const { requestId, stageId, attemptId } = call;
    const token = readToken(call.input);
    this.#executions += 1;
    if (call.partialText !== undefined) this.#continued += 1;
    incrementCount(this.#byRequest, requestId);
    if (token !== undefined) incrementCount(this.#byToken, token);
    const ids = { requestId, stageId, attemptId };
    this.#onExecution(token === undefined ? ids : { ...ids, token });
  }

  complete(): void {
    this.#completed += 1;
  }

  recordRefusal(): void {
    this.#refused += 1;
  }

  recordWrongPartialText(): void {
    this.#wrongPartialTexts += 1;
  }

  recordRunnerTime(milliseconds: number): void {
    this.#runnerMilliseconds += milliseconds;
  }

  report(): ExecutionReport {
    return {
      byToken: Object.fromEntries(this.#byToken),
      byRequest: Object.fromEntries(this.#byRequest),
      executions: this.#executions,
      completed: this.#completed,
      continued: this.#continued,
      refused: this.#refused,
      wrongPartialTexts: this.#wrongPartialTexts,
      runnerMilliseconds: this.#runnerMilliseconds,
    };
  }
}

function incrementCount(counts: Map<string, number>, key: string): void {
  counts.set(key, (counts.get(key) ?? 0) + 1);
}

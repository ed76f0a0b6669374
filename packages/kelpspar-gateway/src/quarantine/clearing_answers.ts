import type { CrashReport } from "kelpspar-decisions/quarantine";
import { reportKey } from "kelpspar-decisions/quarantine";

/** What an answer cleared while it went on. */
export interface Clearing {
  readonly attemptId: string | undefined;
  readonly parts: readonly string[];
  readonly crashes: readonly string[];
}

/** Identifies the answer to a request by an incarnation of an endpoint. */
type AnswerId = Pick<CrashReport, "fingerprint" | "crash">;

/** Answers remembered; the oldest ones are dropped first. */
const MAXIMUM_ANSWERS = 200;

/** Answers of this daemon that cleared parts of crashes before they ended. */
export class ClearingAnswers {
  readonly #clearings = new Map<string, Clearing>();

  add(answer: AnswerId, clearing: Clearing): void {
    const key = reportKey(answer);
    const known = this.#clearings.get(key);
    this.#clearings.delete(key);
    this.#clearings.set(key, {
      attemptId: clearing.attemptId,
      parts: union(known?.parts, clearing.parts),
      crashes: union(known?.crashes, clearing.crashes),
    });
    if (this.#clearings.size <= MAXIMUM_ANSWERS) return;
    const [oldest] = this.#clearings.keys();
    if (oldest !== undefined) this.#clearings.delete(oldest);
  }

  /** Removes and returns what an answer cleared, if anything. */
  take(answer: AnswerId): Clearing | undefined {
    const key = reportKey(answer);
    const clearing = this.#clearings.get(key);
    this.#clearings.delete(key);
    return clearing;
  }
}

function union(
  known: readonly string[] | undefined,
  added: readonly string[],
): readonly string[] {
  return [...new Set([...known ?? [], ...added])];
}

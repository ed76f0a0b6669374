import type { DaemonAddress } from "kelpspar-shared";
import type { UnfinishedResult } from "./attempt_result.ts";
import type { RunServices } from "./run_services.ts";
import type { Step } from "./step.ts";
import {
  formatBoundKey,
  parseBoundKey,
  RESULT_CODES,
  toFailureRecord,
  toKelpsparError,
} from "kelpspar-shared";
import { toHostPort } from "../addresses/daemon_address.ts";

const KEY_BYTES = 16;

/** Options of a `DaemonSelector`. */
export interface DaemonSelectorOptions {
  readonly services: RunServices;
  /** The idempotency key that the caller supplied. */
  readonly key: string | undefined;
  /** True when each submission gets a key that is bound to its daemon. */
  readonly mintsKeys: boolean;
}

/** Chooses the daemon for each step of a run, and the key that matches it. */
export class DaemonSelector {
  readonly #options: DaemonSelectorOptions;
  readonly #avoid = new Set<string>();
  #key: string | undefined;
  #daemon: DaemonAddress | undefined;

  constructor(options: DaemonSelectorOptions) {
    this.#options = options;
    this.#key = options.key;
  }

  /** The daemon of the last step. */
  get daemon(): DaemonAddress | undefined {
    return this.#daemon;
  }

  /** The key of the last submission. */
  get key(): string | undefined {
    return this.#key;
  }

  /** Chooses the daemon for a step, or returns why there is none. */
  async choose(step: Step): Promise<DaemonAddress | UnfinishedResult> {
    if (step.where === "same" && this.#daemon !== undefined) {
      return this.#daemon;
    }
    if (step.kind === "look_up") this.#avoid.clear();
    if (step.where === "other") this.#avoidLastDaemon();
    const bindsKey = step.kind === "submit" && this.#options.mintsKeys;
    try {
      this.#daemon = await this.#options.services.addresses.choose({
        avoid: this.#avoid,
        elsewhere: step.elsewhere ?? [],
        incarnation: bindsKey ? undefined : this.#boundIncarnation(),
        bindsKey,
      });
    } catch (thrown) {
      return toResult(thrown);
    }
    if (bindsKey) this.#key = this.#mintKey(this.#daemon);
    return this.#daemon;
  }

  /**
   * Submissions avoid every daemon that did not serve them. Look-ups avoid only
   * the last one, because another daemon may have the result by then.
   */
  #avoidLastDaemon(): void {
    if (this.#daemon !== undefined) this.#avoid.add(toHostPort(this.#daemon));
    this.#options.services.addresses.invalidate();
  }

  #boundIncarnation(): string | undefined {
    if (this.#key === undefined) return undefined;
    return parseBoundKey(this.#key)?.incarnation;
  }

  /**
   * Generates a new key for each submission, bound to the daemon that receives
   * it. That is safe because a second submission is made only if the first is
   * proven not to have run.
   */
  #mintKey(daemon: DaemonAddress): string {
    const { incarnation, keyEpoch } = daemon;
    const rest = this.#options.services.random.nextHexadecimal(KEY_BYTES);
    return formatBoundKey({ incarnation, rest: `${keyEpoch}.${rest}` });
  }
}

function toResult(thrown: unknown): UnfinishedResult {
  const error = toKelpsparError(thrown);
  if (RESULT_CODES[error.result].retry !== "never") {
    return { type: "refused", message: error.message };
  }
  return { type: "failed", record: toFailureRecord(error), accepted: false };
}

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
import { daemonPlace } from "../addresses/daemon_address.ts";

const KEY_BYTES = 16;

/** What the choice for one run depends on. */
export interface DaemonChoiceOptions {
  readonly services: RunServices;
  /** The caller's own key. */
  readonly key: string | undefined;
  /** True when submissions get keys bound to their daemons. */
  readonly mintsKeys: boolean;
}

/** Chooses the daemon of each step of a run, and the key that fits it. */
export class DaemonChoice {
  readonly #options: DaemonChoiceOptions;
  readonly #avoid = new Set<string>();
  #key: string | undefined;
  #daemon: DaemonAddress | undefined;

  constructor(options: DaemonChoiceOptions) {
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

  /** Finds the daemon for a step, or says why there is none. */
  async choose(step: Step): Promise<DaemonAddress | UnfinishedResult> {
    if (step.where === "same" && this.#daemon !== undefined) {
      return this.#daemon;
    }
    if (step.kind === "look_up") this.#avoid.clear();
    if (step.where === "other") this.#avoidLast();
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
   * Submissions stay away from each daemon that did not serve them; look-ups
   * only from the last, since another may hold the result the next time.
   */
  #avoidLast(): void {
    if (this.#daemon !== undefined) this.#avoid.add(daemonPlace(this.#daemon));
    this.#options.services.addresses.invalidate();
  }

  #boundIncarnation(): string | undefined {
    if (this.#key === undefined) return undefined;
    return parseBoundKey(this.#key)?.incarnation;
  }

  /**
   * Each submission gets a key of its own, bound to the daemon it goes to.
   * That is safe because a second submission is made only when the first is
   * proved not to have run.
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

import type { ChooseOptions } from "./choose_options.ts";
import type { EndpointEntry } from "./endpoint_entry.ts";
import type { EndpointRole } from "kelpspar-shared";

const DRAWS_BEFORE_SCAN = 8;
const SCAN_BELOW = 8;

const ROLES_THAT_TAKE: Readonly<
  Record<EndpointRole, readonly EndpointRole[]>
> = {
  any: ["any"],
  prefill: ["prefill", "any"],
  decode: ["decode", "any"],
  service: ["service", "any"],
};

/** Whether an endpoint can take a call now. */
export type Admission = "open" | "full" | "suspect" | "closed";

/** The search of an endpoint for one call; notes why candidates fell out. */
export class CandidateSearch {
  readonly #call: ChooseOptions;
  #sawFull = false;
  #sawSuspect = false;

  constructor(call: ChooseOptions) {
    this.#call = call;
  }

  /** True when a candidate would do but is at its limit. */
  get sawFull(): boolean {
    return this.#sawFull;
  }

  /** True when a candidate would do but is suspect. */
  get sawSuspect(): boolean {
    return this.#sawSuspect;
  }

  /** Whether `entry` can take the call. */
  admit(entry: EndpointEntry): Admission {
    const { exclude, now } = this.#call;
    if (entry.leaving || entry.health.isEjected) return "closed";
    if (exclude?.has(entry.address.endpointId)) return "closed";
    if (!this.#suits(entry)) return "closed";
    if (entry.load.inFlight >= entry.limitAt(now)) {
      this.#sawFull ||= !entry.health.isSuspect;
      return "full";
    }
    if (!entry.health.isSuspect) return "open";
    this.#sawSuspect = true;
    return "suspect";
  }

  /**
   * The less loaded of two candidates drawn at random. A few draws find two
   * that can take the call, unless most cannot; then all are looked through.
   *
   * Source: Mitzenmacher, "The power of two choices in randomized load
   * balancing", 2001.
   */
  drawBest(
    candidates: readonly EndpointEntry[],
    wanted: Admission = "open",
  ): EndpointEntry | undefined {
    if (candidates.length < SCAN_BELOW || wanted !== "open") {
      return this.#scan(candidates, wanted);
    }
    let first: EndpointEntry | undefined;
    for (let draw = 0; draw < DRAWS_BEFORE_SCAN; draw++) {
      const index = this.#call.random.nextInteger(candidates.length);
      const entry = candidates[index];
      if (entry === undefined || entry === first) continue;
      if (this.admit(entry) !== wanted) continue;
      if (first !== undefined) return this.#better(first, entry);
      first = entry;
    }
    return this.#scan(candidates, wanted);
  }

  /** Draws two in one pass, each pair with the same chance. */
  #scan(
    candidates: readonly EndpointEntry[],
    wanted: Admission,
  ): EndpointEntry | undefined {
    const { random } = this.#call;
    let first: EndpointEntry | undefined;
    let second: EndpointEntry | undefined;
    let seen = 0;
    for (const entry of candidates) {
      if (this.admit(entry) !== wanted) continue;
      seen++;
      if (first === undefined) first = entry;
      else if (second === undefined) second = entry;
      else {
        const place = random.nextInteger(seen);
        if (place === 0) first = entry;
        if (place === 1) second = entry;
      }
    }
    if (first === undefined || second === undefined) return first;
    return random.next() < 0.5
      ? this.#better(first, second)
      : this.#better(second, first);
  }

  #better(first: EndpointEntry, second: EndpointEntry): EndpointEntry {
    const { now } = this.#call;
    return second.scoreAt(now) < first.scoreAt(now) ? second : first;
  }

  #suits(entry: EndpointEntry): boolean {
    const { adapter, role } = this.#call;
    const { report } = entry;
    if (adapter !== undefined && !report?.adapters.includes(adapter)) {
      return false;
    }
    if (role === undefined || report === undefined) return true;
    return ROLES_THAT_TAKE[role].includes(report.role);
  }
}

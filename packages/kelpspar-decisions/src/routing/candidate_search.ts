import type { ChooseOptions } from "./choose_options.ts";
import type { EndpointEntry } from "./endpoint_entry.ts";
import type { EndpointRole } from "kelpspar-shared";

const MAXIMUM_DRAWS = 8;
const SCAN_BELOW_CANDIDATES = 8;

const COMPATIBLE_ROLES: Readonly<
  Record<EndpointRole, readonly EndpointRole[]>
> = {
  any: ["any"],
  prefill: ["prefill", "any"],
  decode: ["decode", "any"],
  service: ["service", "any"],
};

/** Whether an endpoint is available for a call now. */
export type CandidateAvailability = "open" | "full" | "suspect" | "closed";

/** Searches an endpoint for one call and records why candidates failed. */
export class CandidateSearch {
  readonly #call: ChooseOptions;
  #sawFull = false;
  #sawSuspect = false;

  constructor(call: ChooseOptions) {
    this.#call = call;
  }

  /** True when a compatible candidate is at its limit. */
  get sawFull(): boolean {
    return this.#sawFull;
  }

  /** True when a compatible candidate is suspect. */
  get sawSuspect(): boolean {
    return this.#sawSuspect;
  }

  /** Returns whether `entry` is available for the call. */
  availabilityOf(entry: EndpointEntry): CandidateAvailability {
    const { exclude, now } = this.#call;
    if (entry.leaving || entry.health.isEjected) return "closed";
    if (exclude?.has(entry.address.endpointId)) return "closed";
    if (!this.#isCompatible(entry)) return "closed";
    if (entry.load.inFlight >= entry.limitAt(now)) {
      this.#sawFull ||= !entry.health.isSuspect;
      return "full";
    }
    if (!entry.health.isSuspect) return "open";
    this.#sawSuspect = true;
    return "suspect";
  }

  /**
   * Returns the less loaded of two random candidates. A few draws find two that
   * are available, unless most are not; in that case it scans all of them.
   *
   * Source: Mitzenmacher, "The power of two choices in randomized load
   * balancing", 2001.
   */
  pickLessLoaded(
    candidates: readonly EndpointEntry[],
    wanted: CandidateAvailability = "open",
  ): EndpointEntry | undefined {
    if (candidates.length < SCAN_BELOW_CANDIDATES || wanted !== "open") {
      return this.#scan(candidates, wanted);
    }
    let first: EndpointEntry | undefined;
    for (let draw = 0; draw < MAXIMUM_DRAWS; draw++) {
      const index = this.#call.random.nextInteger(candidates.length);
      const entry = candidates[index];
      if (entry === undefined || entry === first) continue;
      if (this.availabilityOf(entry) !== wanted) continue;
      if (first !== undefined) return this.#lessLoaded(first, entry);
      first = entry;
    }
    return this.#scan(candidates, wanted);
  }

  /** Samples two available candidates uniformly, in one pass. */
  #scan(
    candidates: readonly EndpointEntry[],
    wanted: CandidateAvailability,
  ): EndpointEntry | undefined {
    const { random } = this.#call;
    let first: EndpointEntry | undefined;
    let second: EndpointEntry | undefined;
    let seen = 0;
    for (const entry of candidates) {
      if (this.availabilityOf(entry) !== wanted) continue;
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
      ? this.#lessLoaded(first, second)
      : this.#lessLoaded(second, first);
  }

  #lessLoaded(first: EndpointEntry, second: EndpointEntry): EndpointEntry {
    const { now } = this.#call;
    return second.scoreAt(now) < first.scoreAt(now) ? second : first;
  }

  #isCompatible(entry: EndpointEntry): boolean {
    const { adapter, role } = this.#call;
    const { report } = entry;
    if (adapter !== undefined && !report?.adapters.includes(adapter)) {
      return false;
    }
    if (role === undefined || report === undefined) return true;
    return COMPATIBLE_ROLES[role].includes(report.role);
  }
}

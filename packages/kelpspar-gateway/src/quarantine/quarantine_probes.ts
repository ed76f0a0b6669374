import type {
  QuarantinableRequest,
  QuarantinedSubject,
} from "./quarantined_subject.ts";
import { subjectKey } from "./quarantined_subject.ts";

/** Time until a probe that showed nothing is followed by another one. */
const PROBE_TIMEOUT_MILLISECONDS = 10_000;

interface Probe {
  readonly request: QuarantinableRequest;
  /** Monotonic milliseconds. */
  readonly startedAt: number;
}

/**
 * Lets one request at a time pass a quarantine that is due to be probed. Its
 * answer or crash is reported like any other.
 */
export class QuarantineProbes {
  readonly #isChosen: () => boolean;
  readonly #probes = new Map<string, Probe>();

  /** `isChosen` tells whether this daemon probes for the fleet. */
  constructor(isChosen: () => boolean) {
    this.#isChosen = isChosen;
  }

  /** Whether the request is a probe, or becomes one; monotonic milliseconds. */
  mayPass(
    subject: QuarantinedSubject,
    request: QuarantinableRequest,
    now: number,
  ): boolean {
    const { probeFrom = Number.POSITIVE_INFINITY } = subject.type === "parts"
      ? subject
      : {};
    const key = subjectKey(subject);
    const probe = this.#probes.get(key);
    if (probe?.request === request) return true;
    const isRunning = probe !== undefined &&
      now < probe.startedAt + PROBE_TIMEOUT_MILLISECONDS;
    if (now < probeFrom || isRunning || !this.#isChosen()) return false;
    this.#probes.set(key, { request, startedAt: now });
    return true;
  }

  /** Forgets the probes of subjects that aren't quarantined any more. */
  retain(keys: ReadonlyMap<string, unknown>): void {
    for (const key of this.#probes.keys()) {
      if (!keys.has(key)) this.#probes.delete(key);
    }
  }
}

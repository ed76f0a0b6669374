import type { IncarnationObservation } from "./incarnation_history.ts";
import type { LeavingSource } from "./leaving_source.ts";
import { IncarnationHistory } from "./incarnation_history.ts";

const DEFAULT_REFUSAL_THRESHOLD = 3;
const DEFAULT_REFUSAL_WINDOW_MILLISECONDS = 10_000;
const DEFAULT_MAXIMUM_UNLISTED = 4_096;

const VM_SCOPED_SOURCES: readonly LeavingSource[] = [
  "vm_list",
  "drain",
  "refusals",
];
const PROCESS_SCOPED_SOURCES: readonly LeavingSource[] = [
  "report",
  "record",
  "refusals",
];

/** Refusal threshold and memory bounds. */
export interface LeavingTrackerOptions {
  /** Consecutive refusals that mark an id as leaving; default 3. */
  readonly refusalThreshold?: number;
  /** Time after which a refusal expires, milliseconds; default 10,000. */
  readonly refusalWindowMilliseconds?: number;
  /** Ids kept after the VM list dropped them; default 4,096. */
  readonly maximumUnlisted?: number;
}

/** A row of the VM list. */
export interface ListedObservation {
  readonly id: string;
  readonly incarnation: string;
  readonly state: "live" | "leaving";
}

/** A process's report about itself: a load report or a daemon's digest. */
export interface ReportedObservation {
  readonly id: string;
  readonly incarnation: string;
  readonly leaving: boolean;
  /**
   * True when this daemon fetched it over a new connection; false when it was
   * relayed and may be older than the known state.
   */
  readonly direct: boolean;
}

interface LeavingState {
  readonly vm: IncarnationHistory;
  readonly process: IncarnationHistory;
  readonly marks: Set<LeavingSource>;
  refusals: number;
  lastRefusalAt: number;
}

/**
 * Tracks which endpoints or daemons are leaving. A mark is sticky: a source
 * that says "live" doesn't clear it. It ends with the incarnation that its
 * source refers to. The VM list and operators refer to a VM, so their marks
 * survive a restart of the process; load reports and failure records refer to a
 * process, so their marks survive a list that shows the next VM before the next
 * process has reported.
 *
 * Refusals are the only inferred mark. A switch that fails for a minute refuses
 * connections to healthy endpoints; a permanent mark would lose all of them
 * until they are replaced. A direct answer therefore clears a mark by refusals;
 * a relayed one doesn't.
 *
 * Source: the brief, "What must always hold": an endpoint that is leaving
 * receives no new work after a few seconds.
 */
export class LeavingTracker {
  readonly #refusalThreshold: number;
  readonly #refusalWindowMilliseconds: number;
  readonly #maximumUnlisted: number;
  readonly #states = new Map<string, LeavingState>();
  readonly #unlisted = new Set<string>();

  constructor(options: LeavingTrackerOptions = {}) {
    this.#refusalThreshold = options.refusalThreshold ??
      DEFAULT_REFUSAL_THRESHOLD;
    this.#refusalWindowMilliseconds = options.refusalWindowMilliseconds ??
      DEFAULT_REFUSAL_WINDOW_MILLISECONDS;
    this.#maximumUnlisted = options.maximumUnlisted ?? DEFAULT_MAXIMUM_UNLISTED;
  }

  /** Applies a row of the VM list; a `retired` row is ignored. */
  listed(row: ListedObservation): IncarnationObservation {
    const state = this.#getOrCreateState(row.id);
    this.#unlisted.delete(row.id);
    const observation = observeVm(state, row.incarnation);
    if (observation === "retired") return observation;
    if (row.state === "leaving") state.marks.add("vm_list");
    return observation;
  }

  /** Records that the VM list dropped `id`; keeps its marks for a while. */
  unlisted(id: string): void {
    if (!this.#states.has(id)) return;
    this.#unlisted.delete(id);
    this.#retainUnlisted(id);
  }

  /** Applies a process's report; one of a `retired` process is ignored. */
  reported(report: ReportedObservation): IncarnationObservation {
    const state = this.#getOrCreateState(report.id);
    const observation = state.process.observe(report.incarnation);
    if (observation === "retired") return observation;
    if (observation === "renewed") clearMarks(state, PROCESS_SCOPED_SOURCES);
    if (observation === "first") clearMarks(state, ["refusals"]);
    if (report.leaving) state.marks.add("report");
    else if (report.direct) clearMarks(state, ["refusals"]);
    return observation;
  }

  /** Records that a call failed with a `leaving` failure record. */
  recordedLeaving(id: string): void {
    this.#getOrCreateState(id).marks.add("record");
  }

  /** Counts a connection refused at `at`, monotonic milliseconds. */
  refused(id: string, at: number): void {
    const state = this.#getOrCreateState(id);
    const silence = at - state.lastRefusalAt;
    if (silence > this.#refusalWindowMilliseconds) state.refusals = 0;
    state.refusals++;
    state.lastRefusalAt = at;
    if (state.refusals >= this.#refusalThreshold) state.marks.add("refusals");
  }

  /**
   * Applies an operator's drain. With `incarnation` it applies to that VM only,
   * so that reading the same drain again doesn't drain the VM's successor.
   */
  drain(id: string, incarnation?: string): void {
    const state = this.#getOrCreateState(id);
    if (incarnation !== undefined) {
      if (observeVm(state, incarnation) === "retired") return;
    }
    state.marks.add("drain");
  }

  /** Cancels an operator's drain; marks of other sources stay. */
  undrain(id: string): void {
    this.#states.get(id)?.marks.delete("drain");
  }

  isLeaving(id: string): boolean {
    return (this.#states.get(id)?.marks.size ?? 0) > 0;
  }

  /** True when refusals are the only mark of `id`. */
  isLeavingByRefusalsOnly(id: string): boolean {
    const marks = this.#states.get(id)?.marks;
    return marks !== undefined && marks.size === 1 && marks.has("refusals");
  }

  /** The sources that marked `id`, for operators' listings. */
  sourcesOf(id: string): readonly LeavingSource[] {
    return [...this.#states.get(id)?.marks ?? []];
  }

  #getOrCreateState(id: string): LeavingState {
    const existing = this.#states.get(id);
    if (existing !== undefined) return existing;
    const state: LeavingState = {
      vm: new IncarnationHistory(),
      process: new IncarnationHistory(),
      marks: new Set(),
      refusals: 0,
      lastRefusalAt: Number.NEGATIVE_INFINITY,
    };
    this.#states.set(id, state);
    this.#retainUnlisted(id);
    return state;
  }

  #retainUnlisted(id: string): void {
    this.#unlisted.add(id);
    if (this.#unlisted.size <= this.#maximumUnlisted) return;
    const [oldest] = this.#unlisted;
    if (oldest === undefined) return;
    this.#unlisted.delete(oldest);
    this.#states.delete(oldest);
  }
}

function observeVm(
  state: LeavingState,
  incarnation: string,
): IncarnationObservation {
  const observation = state.vm.observe(incarnation);
  if (observation !== "renewed") return observation;
  clearMarks(state, VM_SCOPED_SOURCES);
  if (state.process.current === undefined) clearMarks(state, ["record"]);
  return observation;
}

function clearMarks(
  state: LeavingState,
  sources: readonly LeavingSource[],
): void {
  for (const source of sources) state.marks.delete(source);
  if (sources.includes("refusals")) state.refusals = 0;
}

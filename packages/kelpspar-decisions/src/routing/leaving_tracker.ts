import type { IncarnationSighting } from "./incarnation_history.ts";
import type { LeavingSource } from "./leaving_source.ts";
import { IncarnationHistory } from "./incarnation_history.ts";

const DEFAULT_REFUSALS_TO_MARK = 3;
const DEFAULT_REFUSAL_WINDOW_MILLISECONDS = 10_000;
const DEFAULT_UNLISTED_KEPT = 4_096;

const MARKS_OF_VM: readonly LeavingSource[] = ["vm_list", "drain", "refusals"];
const MARKS_OF_PROCESS: readonly LeavingSource[] = [
  "report",
  "record",
  "refusals",
];

/** When refusals count as leaving, and what is remembered. */
export interface LeavingTrackerOptions {
  /** Refusals in a row that mark; default 3. */
  readonly refusalsToMark?: number;
  /** A refusal is forgotten after this time, milliseconds; default 10,000. */
  readonly refusalWindowMilliseconds?: number;
  /** Ids remembered after the VM list dropped them; default 4,096. */
  readonly unlistedKept?: number;
}

/** A row of the VM list. */
export interface ListedSighting {
  readonly id: string;
  readonly incarnation: string;
  readonly state: "live" | "leaving";
}

/** What a process says of itself: a load report or a daemon's digest. */
export interface ReportedSighting {
  readonly id: string;
  readonly incarnation: string;
  readonly leaving: boolean;
  /**
   * True when this daemon fetched it itself, over a new connection; false when
   * it was relayed, so that it may be older than what is known.
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
 * Who is leaving. A mark is sticky: no source that says "live" takes it away.
 * It ends with the incarnation that its source speaks of. The VM list and
 * operators speak of a VM, so their marks outlast a restart of the process;
 * reports and failure records speak of a process, so their marks outlast a
 * list that shows the next VM before the next process has said anything.
 *
 * Refusals are the one mark that is inferred. A switch that fails for a minute
 * refuses connections to healthy endpoints; a mark for good would lose every
 * one of them until it is replaced. So a direct answer, and nothing relayed,
 * takes back a mark by refusals.
 *
 * Source: the brief, "What must always hold": an endpoint that is leaving
 * receives no new work after a few seconds.
 */
export class LeavingTracker {
  readonly #refusalsToMark: number;
  readonly #refusalWindowMilliseconds: number;
  readonly #unlistedKept: number;
  readonly #states = new Map<string, LeavingState>();
  readonly #unlisted = new Set<string>();

  constructor(options: LeavingTrackerOptions = {}) {
    this.#refusalsToMark = options.refusalsToMark ?? DEFAULT_REFUSALS_TO_MARK;
    this.#refusalWindowMilliseconds = options.refusalWindowMilliseconds ??
      DEFAULT_REFUSAL_WINDOW_MILLISECONDS;
    this.#unlistedKept = options.unlistedKept ?? DEFAULT_UNLISTED_KEPT;
  }

  /** Takes in a row of the VM list; a `retired` row changes nothing. */
  listed(row: ListedSighting): IncarnationSighting {
    const state = this.#stateOf(row.id);
    this.#unlisted.delete(row.id);
    const sighting = seeVm(state, row.incarnation);
    if (sighting === "retired") return sighting;
    if (row.state === "leaving") state.marks.add("vm_list");
    return sighting;
  }

  /** Notes that the VM list dropped `id`; its marks are kept for a while. */
  unlisted(id: string): void {
    if (!this.#states.has(id)) return;
    this.#unlisted.delete(id);
    this.#keepUnlisted(id);
  }

  /** Takes in what a process says; a `retired` one changes nothing. */
  reported(report: ReportedSighting): IncarnationSighting {
    const state = this.#stateOf(report.id);
    const sighting = state.process.see(report.incarnation);
    if (sighting === "retired") return sighting;
    if (sighting === "renewed") clearMarks(state, MARKS_OF_PROCESS);
    if (sighting === "first") clearMarks(state, ["refusals"]);
    if (report.leaving) state.marks.add("report");
    else if (report.direct) clearMarks(state, ["refusals"]);
    return sighting;
  }

  /** Takes in a failure record `leaving` of a call. */
  recordedLeaving(id: string): void {
    this.#stateOf(id).marks.add("record");
  }

  /** Counts a connection that was refused at `at`, monotonic milliseconds. */
  refused(id: string, at: number): void {
    const state = this.#stateOf(id);
    const silence = at - state.lastRefusalAt;
    if (silence > this.#refusalWindowMilliseconds) state.refusals = 0;
    state.refusals++;
    state.lastRefusalAt = at;
    if (state.refusals >= this.#refusalsToMark) state.marks.add("refusals");
  }

  /**
   * Applies an operator's drain. With `incarnation` it holds for that VM only,
   * so that reading the same drain again does not drain the VM's successor.
   */
  drain(id: string, incarnation?: string): void {
    const state = this.#stateOf(id);
    if (incarnation !== undefined) {
      if (seeVm(state, incarnation) === "retired") return;
    }
    state.marks.add("drain");
  }

  /** Takes an operator's drain back; marks of other sources stay. */
  undrain(id: string): void {
    this.#states.get(id)?.marks.delete("drain");
  }

  isLeaving(id: string): boolean {
    return (this.#states.get(id)?.marks.size ?? 0) > 0;
  }

  /** True when refusals are all that speaks against `id`. */
  isOnlyRefused(id: string): boolean {
    const marks = this.#states.get(id)?.marks;
    return marks !== undefined && marks.size === 1 && marks.has("refusals");
  }

  /** Who marked `id`, for operators' listings. */
  sourcesOf(id: string): readonly LeavingSource[] {
    return [...this.#states.get(id)?.marks ?? []];
  }

  #stateOf(id: string): LeavingState {
    const known = this.#states.get(id);
    if (known !== undefined) return known;
    const state: LeavingState = {
      vm: new IncarnationHistory(),
      process: new IncarnationHistory(),
      marks: new Set(),
      refusals: 0,
      lastRefusalAt: Number.NEGATIVE_INFINITY,
    };
    this.#states.set(id, state);
    this.#keepUnlisted(id);
    return state;
  }

  #keepUnlisted(id: string): void {
    this.#unlisted.add(id);
    if (this.#unlisted.size <= this.#unlistedKept) return;
    const [oldest] = this.#unlisted;
    if (oldest === undefined) return;
    this.#unlisted.delete(oldest);
    this.#states.delete(oldest);
  }
}

function seeVm(state: LeavingState, incarnation: string): IncarnationSighting {
  const sighting = state.vm.see(incarnation);
  if (sighting !== "renewed") return sighting;
  clearMarks(state, MARKS_OF_VM);
  if (state.process.current === undefined) clearMarks(state, ["record"]);
  return sighting;
}

function clearMarks(
  state: LeavingState,
  sources: readonly LeavingSource[],
): void {
  for (const source of sources) state.marks.delete(source);
  if (sources.includes("refusals")) state.refusals = 0;
}

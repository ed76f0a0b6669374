import type { TimerService } from "kelpspar-shared";
import type {
  CrashPage,
  CrashReport,
  PartAssessment,
  SoundAnswer,
} from "kelpspar-decisions/quarantine";
import type { GatewayLog } from "../log/gateway_log.ts";
import type { GatewayMetrics } from "../metrics/gateway_metrics.ts";
import type {
  QuarantinableRequest,
  QuarantinedSubject,
} from "./quarantined_subject.ts";
import { CrashLedger } from "kelpspar-decisions/quarantine";
import { appliesTo, subjectKey } from "./quarantined_subject.ts";
import { ClearingAnswers } from "./clearing_answers.ts";
import { KnownParts } from "./known_parts.ts";
import { QuarantineProbes } from "./quarantine_probes.ts";
import { ServedRequests } from "./served_requests.ts";

/** How often expired reports are dropped, milliseconds. */
const SWEEP_INTERVAL_MILLISECONDS = 60_000;

/** Crashes named in a log line at most. */
const MAXIMUM_DESCRIBED_CRASHES = 20;

/**
 * Why requests with a part that endpoints crashed on are sent: too few crashes
 * in succession, all cleared by answers, an answer may still clear it, the
 * request probes the quarantine, or something else explains the crashes, such as
 * this part together with one that the request doesn't have.
 */
export type SuspectPartReason =
  | "few_crashes"
  | "cleared"
  | "grace_period"
  | "probe"
  | "other_cause";

/** A part of a prompt that endpoints crashed on, and why it isn't quarantined. */
export interface SuspectPart extends PartAssessment {
  readonly part: string;
  readonly reason: SuspectPartReason;
  /** Parts that count as the cause of crashes now, each joined by commas. */
  readonly causes: readonly string[];
}

/**
 * Source of a change; `age` means that reports expired, `grace` that the grace
 * period of parts has ended, `answer` that an endpoint answered on suspects,
 * `operator` that an operator ended a quarantine.
 */
export type QuarantineSource =
  | "own"
  | "daemon"
  | "store"
  | "age"
  | "grace"
  | "answer"
  | "operator";

/** Called when the known crashes or the quarantined subjects change. */
export type QuarantineListener = (source: QuarantineSource) => void;

/** Options of `Quarantine.answered`. */
export interface AnsweredOptions {
  readonly attemptId?: string | undefined;
  /** False if the same answer was recorded before; default true. */
  readonly isNew?: boolean;
}

/** Options of `Quarantine`. */
export interface QuarantineOptions {
  readonly timer: TimerService;
  readonly log: GatewayLog;
  /** Counts what is quarantined and released; default none. */
  readonly metrics?: Pick<GatewayMetrics, "countQuarantineChange">;
  /**
   * Whether this daemon probes quarantined parts for the fleet; by default it
   * does.
   */
  readonly isProbing?: () => boolean;
}

/** Requests and parts of prompts that crash the endpoints that answer them. */
export class Quarantine {
  readonly #options: QuarantineOptions;
  readonly #ledger = new CrashLedger();
  readonly #served = new ServedRequests();
  readonly #knownParts = new KnownParts();
  readonly #clearingAnswers = new ClearingAnswers();
  readonly #probes: QuarantineProbes;
  /** Fingerprints of requests whose crashes this daemon detected. */
  readonly #reportedHere = new Set<string>();
  /** Crashes that this daemon detected. */
  readonly #crashesDetectedHere = new Set<string>();
  readonly #listeners = new Set<QuarantineListener>();
  /** Subjects in force, by `subjectKey`. */
  #subjects: ReadonlyMap<string, QuarantinedSubject> = new Map();
  #stopGraceTimer = (): void => {};

  constructor(options: QuarantineOptions) {
    this.#options = options;
    this.#probes = new QuarantineProbes(options.isProbing ?? (() => true));
  }

  /** Number of quarantined requests. */
  get size(): number {
    return this.#ledger.poison.size;
  }

  /** Number of quarantined parts, or sets of parts, of prompts. */
  get partsSize(): number {
    return this.#subjects.size - this.#ledger.poison.size;
  }

  /** Equal on daemons that have the same reports; 0 without reports. */
  get checksum(): number {
    return this.#ledger.checksum;
  }

  /** True when a request must not be sent to any endpoint. */
  has(fingerprint: string): boolean {
    return this.#ledger.poison.has(fingerprint);
  }

  /** What keeps a request from being sent; undefined if it may be sent. */
  find(request: QuarantinableRequest): QuarantinedSubject | undefined {
    const now = this.#options.timer.now();
    for (const subject of this.#subjects.values()) {
      const isHeld = appliesTo(subject, request) &&
        !this.#probes.mayPass(subject, request, now);
      if (isHeld) return subject;
    }
    return undefined;
  }

  /** True if one more crash may show that a part of the request is the cause. */
  isSuspect(request: QuarantinableRequest): boolean {
    return this.#hasSuspectPart(request, 1);
  }

  /** True if one more crash may make the request suspect. */
  mayBecomeSuspect(request: QuarantinableRequest): boolean {
    return this.#hasSuspectPart(request, 2);
  }

  #hasSuspectPart(
    { parts }: QuarantinableRequest,
    furtherCrashes: number,
  ): boolean {
    return this.#ledger.hasSuspectParts &&
      parts.some((part) => this.#ledger.isSuspectPart(part, furtherCrashes));
  }

  /** Keys of all subjects that must not be sent. */
  get keys(): ReadonlySet<string> {
    return new Set(this.#subjects.keys());
  }

  /** True when this daemon detected one of a subject's crashes. */
  isOwn(key: string): boolean {
    const subject = this.#subjects.get(key);
    return subject?.type === "parts"
      ? subject.crashes.some((crash) => this.#crashesDetectedHere.has(crash))
      : this.#reportedHere.has(key);
  }

  /** Starts dropping expired reports; returns the teardown. */
  register(): () => void {
    const { timer } = this.#options;
    const sweep = (): void => {
      this.#applyChange("age", () => this.#ledger.sweep(timer.now()));
      const { reports } = this.page();
      const crashes = new Set(reports.map(({ crash }) => crash));
      for (const crash of this.#crashesDetectedHere) {
        if (!crashes.has(crash)) this.#crashesDetectedHere.delete(crash);
      }
      for (const fingerprint of this.#reportedHere) {
        if (!this.#ledger.suspects.has(fingerprint)) {
          this.#reportedHere.delete(fingerprint);
        }
      }
    };
    const stopSweep = timer.registerInterval(
      sweep,
      SWEEP_INTERVAL_MILLISECONDS,
    );
    return () => {
      stopSweep();
      this.#stopGraceTimer();
    };
  }

  /** Records that an endpoint crashed at `at` while running a request. */
  reportCrash(report: CrashReport, at = this.#options.timer.now()): void {
    const now = this.#options.timer.now();
    this.#reportedHere.add(report.fingerprint);
    this.#crashesDetectedHere.add(report.crash);
    const described = this.#knownParts.describe(report, now);
    this.#applyChange("own", () => this.#ledger.report(described, now, at));
    this.#logDisprovedClearing(report);
  }

  /** Logs that an answer cleared parts and crashed its endpoint afterwards. */
  #logDisprovedClearing(report: CrashReport): void {
    const clearing = this.#clearingAnswers.take(report);
    if (clearing === undefined) return;
    this.#options.log.warn("clearing answer crashed its endpoint", {
      attempt: clearing.attemptId,
      parts: clearing.parts.join(","),
      crashes: describeCrashes(clearing.crashes),
      wroteMilliseconds: report.wroteMilliseconds,
    });
  }

  /** Records that an endpoint answered a request completely. */
  served(fingerprint: string): void {
    this.#served.add(fingerprint, this.#options.timer.now());
    if (this.#ledger.suspects.has(fingerprint)) this.#clearServed("own");
  }

  /**
   * The part of the request that most endpoints crashed on, if any, and why the
   * request may be sent nevertheless.
   */
  findSuspectPart(request: QuarantinableRequest): SuspectPart | undefined {
    const [most] = request.parts.flatMap((part) => {
      const assessment = this.#ledger.assessPart(part);
      return assessment === undefined ? [] : [{ part, ...assessment }];
    }).sort((left, right) =>
      right.weight - left.weight || right.crashes - left.crashes
    );
    if (most === undefined) return undefined;
    return {
      ...most,
      reason: this.#explainSend(request, most),
      causes: this.#ledger.crashingParts.map(({ parts }) => parts.join(",")),
    };
  }

  #explainSend(
    request: QuarantinableRequest,
    suspect: PartAssessment & { readonly part: string },
  ): SuspectPartReason {
    if (suspect.crashesInSuccession === 0) return "cleared";
    if (suspect.weight < suspect.threshold) return "few_crashes";
    const subjects = [...this.#subjects.values()];
    if (subjects.some((subject) => appliesTo(subject, request))) return "probe";
    const now = this.#options.timer.now();
    const isPending = this.#ledger.crashingParts.some((cause) =>
      cause.enforcedFrom > now && cause.parts.includes(suspect.part)
    );
    return isPending ? "grace_period" : "other_cause";
  }

  /** Records that an endpoint answers on parts of a prompt. */
  answered(
    answer: SoundAnswer,
    { attemptId, isNew = true }: AnsweredOptions = {},
  ): void {
    const now = this.#options.timer.now();
    this.#knownParts.record(answer, { isNew, now });
    if (!this.#ledger.hasSuspectParts) return;
    const cleared = this.#ledger.findCleared(answer);
    if (!this.#ledger.clear(cleared, now)) return;
    const parts = [...new Set(cleared.map(({ part }) => part))];
    const crashes = cleared.map(({ crash }) => crash);
    if (answer.id !== undefined && answer.wroteMilliseconds !== undefined) {
      this.#clearingAnswers.add(answer.id, { attemptId, parts, crashes });
    }
    this.#options.log.info("prompt parts cleared", {
      attempt: attemptId,
      parts: parts.join(","),
      crashes: describeCrashes(crashes),
      wroteMilliseconds: answer.wroteMilliseconds,
      begunMillisecondsAgo: Math.round(now - answer.beganAt),
    });
    this.#applyChange("answer", () => true);
  }

  /**
   * Ends the quarantine of a request, by its fingerprint, or of a part, by its
   * id; false if there is none. Later crashes count again.
   */
  release(id: string): boolean {
    const now = this.#options.timer.now();
    const released = [...this.#subjects.values()].filter((subject) =>
      subject.type === "request"
        ? subject.fingerprint === id
        : subject.parts.includes(id)
    );
    for (const subject of released) {
      this.#applyChange("operator", () => {
        if (subject.type === "request") {
          return this.#ledger.markServed(subject.fingerprint, now);
        }
        this.#ledger.releaseParts(subject.parts, now);
        return true;
      });
    }
    return released.length > 0;
  }

  /** Merges reports from other daemons or the store. */
  merge(page: CrashPage, source: QuarantineSource): void {
    const now = this.#options.timer.now();
    this.#applyChange(source, () => this.#ledger.merge(page, now));
  }

  /** All reports, or those about one subject. */
  page(key?: string): CrashPage {
    const now = this.#options.timer.now();
    const subject = key === undefined ? undefined : this.#subjects.get(key);
    return subject?.type === "parts"
      ? this.#ledger.pageOfParts(now, subject)
      : this.#ledger.page(now, key);
  }

  registerListener(listener: QuarantineListener): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  #applyChange(source: QuarantineSource, act: () => boolean): void {
    const isNew = act();
    this.#updateSubjects(source);
    if (!isNew) return;
    for (const listener of this.#listeners) listener(source);
    this.#clearServed(source);
  }

  /** Clears suspects that this daemon has served. */
  #clearServed(source: QuarantineSource): void {
    for (const fingerprint of this.#ledger.suspects) {
      const at = this.#served.servedAt(fingerprint);
      if (at === undefined) continue;
      this.#applyChange(
        source,
        () => this.#ledger.markServed(fingerprint, at),
      );
    }
  }

  /** Puts subjects in force, or lifts them, as the reports now say. */
  #updateSubjects(source: QuarantineSource): void {
    const now = this.#options.timer.now();
    const { poison, crashingParts } = this.#ledger;
    const subjects: readonly QuarantinedSubject[] = [
      ...[...poison].map((fingerprint) =>
        ({ type: "request", fingerprint }) as const
      ),
      ...crashingParts.filter(({ enforcedFrom }) => enforcedFrom <= now).map((
        cause,
      ) => ({ type: "parts", ...cause }) as const),
    ];
    const before = this.#subjects;
    this.#subjects = new Map(
      subjects.map((subject) => [subjectKey(subject), subject]),
    );
    this.#probes.retain(this.#subjects);
    this.#logChange(before, source);
    this.#awaitGrace(now);
  }

  /** Updates the subjects once the next grace period of parts ends. */
  #awaitGrace(now: number): void {
    this.#stopGraceTimer();
    const pending = this.#ledger.crashingParts
      .map(({ enforcedFrom }) => enforcedFrom)
      .filter((enforcedFrom) => enforcedFrom > now);
    if (pending.length === 0) {
      this.#stopGraceTimer = () => {};
      return;
    }
    this.#stopGraceTimer = this.#options.timer.registerTimeout(() => {
      this.#updateSubjects("grace");
      for (const listener of this.#listeners) listener("grace");
    }, Math.min(...pending) - now);
  }

  #logChange(
    before: ReadonlyMap<string, QuarantinedSubject>,
    source: QuarantineSource,
  ): void {
    const { log, metrics } = this.#options;
    for (const [key, subject] of this.#subjects) {
      if (before.has(key)) continue;
      metrics?.countQuarantineChange(subject.type, "quarantined");
      const { reports } = this.page(key);
      const crashes = describeCrashes(reports.map(({ crash }) => crash));
      if (subject.type === "request") {
        const { fingerprint } = subject;
        log.warn("request quarantined", { fingerprint, source, crashes });
      } else {
        const parts = subject.parts.join(",");
        log.warn("prompt parts quarantined", { parts, source, crashes });
      }
    }
    for (const [key, subject] of before) {
      if (this.#subjects.has(key)) continue;
      metrics?.countQuarantineChange(subject.type, "released");
      if (subject.type === "request") {
        const { fingerprint } = subject;
        log.info("request released from quarantine", { fingerprint, source });
      } else {
        const parts = subject.parts.join(",");
        log.info("prompt parts released from quarantine", { parts, source });
      }
    }
  }
}

/** Lists the newest crashes for a log line, each once. */
function describeCrashes(crashes: readonly string[]): string {
  return [...new Set(crashes)].slice(-MAXIMUM_DESCRIBED_CRASHES).join(",");
}

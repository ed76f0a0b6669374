import type { TimerService } from "kelpspar-shared";
import type { CrashPage, CrashReport } from "kelpspar-decisions/quarantine";
import type { GatewayLog } from "../log/gateway_log.ts";
import { CrashLedger } from "kelpspar-decisions/quarantine";
import { ServedRequests } from "./served_requests.ts";

/** How often expired reports are dropped, milliseconds. */
const SWEEP_INTERVAL_MILLISECONDS = 60_000;

/** Source of a change; `age` means that reports expired. */
export type QuarantineSource = "own" | "daemon" | "store" | "age";

/** Called when the known crashes change. */
export type QuarantineListener = (source: QuarantineSource) => void;

/** Options of `Quarantine`. */
export interface QuarantineOptions {
  readonly timer: TimerService;
  readonly log: GatewayLog;
}

/** Poison requests, which crash the endpoints that run them. */
export class Quarantine {
  readonly #options: QuarantineOptions;
  readonly #ledger = new CrashLedger();
  readonly #served = new ServedRequests();
  /** Fingerprints of requests whose crashes this daemon detected. */
  readonly #reportedHere = new Set<string>();
  readonly #listeners = new Set<QuarantineListener>();

  constructor(options: QuarantineOptions) {
    this.#options = options;
  }

  get size(): number {
    return this.#ledger.poison.size;
  }

  /** Equal on daemons that have the same reports; 0 without reports. */
  get checksum(): number {
    return this.#ledger.checksum;
  }

  /** True when a request must not be sent to any endpoint. */
  has(fingerprint: string): boolean {
    return this.#ledger.poison.has(fingerprint);
  }

  /** Fingerprints of requests that must not be sent. */
  get fingerprints(): ReadonlySet<string> {
    return this.#ledger.poison;
  }

  /** True when this daemon detected one of the request's crashes. */
  isOwn(fingerprint: string): boolean {
    return this.#reportedHere.has(fingerprint);
  }

  /** Starts dropping expired reports; returns the teardown. */
  register(): () => void {
    const { timer } = this.#options;
    const sweep = (): void => {
      this.#applyChange("age", () => this.#ledger.sweep(timer.now()));
      for (const fingerprint of this.#reportedHere) {
        if (!this.#ledger.suspects.has(fingerprint)) {
          this.#reportedHere.delete(fingerprint);
        }
      }
    };
    return timer.registerInterval(sweep, SWEEP_INTERVAL_MILLISECONDS);
  }

  /** Records that an endpoint crashed while running a request. */
  reportCrash(report: CrashReport): void {
    const now = this.#options.timer.now();
    this.#reportedHere.add(report.fingerprint);
    this.#applyChange("own", () => this.#ledger.report(report, now));
  }

  /** Records that an endpoint answered a request completely. */
  served(fingerprint: string): void {
    this.#served.add(fingerprint);
    if (this.#ledger.suspects.has(fingerprint)) this.#clearServed("own");
  }

  /** Merges reports from other daemons or the store. */
  merge(page: CrashPage, source: QuarantineSource): void {
    const now = this.#options.timer.now();
    this.#applyChange(source, () => this.#ledger.merge(page, now));
  }

  /** All reports, or those of one request. */
  page(fingerprint?: string): CrashPage {
    return this.#ledger.page(this.#options.timer.now(), fingerprint);
  }

  registerListener(listener: QuarantineListener): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  #applyChange(source: QuarantineSource, act: () => boolean): void {
    const before = this.#ledger.poison;
    const isNew = act();
    this.#logChange(before, source);
    if (!isNew) return;
    for (const listener of this.#listeners) listener(source);
    this.#clearServed(source);
  }

  /** Clears suspects that this daemon has served. */
  #clearServed(source: QuarantineSource): void {
    const now = this.#options.timer.now();
    for (const fingerprint of this.#ledger.suspects) {
      if (!this.#served.has(fingerprint)) continue;
      this.#applyChange(
        source,
        () => this.#ledger.markServed(fingerprint, now),
      );
    }
  }

  #logChange(before: ReadonlySet<string>, source: QuarantineSource): void {
    const { log } = this.#options;
    const after = this.#ledger.poison;
    for (const fingerprint of after) {
      if (before.has(fingerprint)) continue;
      const { reports } = this.#ledger.page(0, fingerprint);
      const crashes = reports.map(({ crash }) => crash).join(",");
      log.warn("request quarantined", { fingerprint, source, crashes });
    }
    for (const fingerprint of before) {
      if (after.has(fingerprint)) continue;
      log.info("request released from quarantine", { fingerprint, source });
    }
  }
}

import type { TimerService } from "kelpspar-shared";
import type { CrashPage, CrashReport } from "kelpspar-decisions/quarantine";
import type { GatewayLog } from "../log/gateway_log.ts";
import { CrashLedger } from "kelpspar-decisions/quarantine";
import { ServedRequests } from "./served_requests.ts";

/** How often reports that are too old are dropped, milliseconds. */
const SWEEP_MILLISECONDS = 60_000;

/** Where news of crashes came from; `age`: reports were forgotten. */
export type QuarantineSource = "own" | "daemon" | "store" | "age";

/** Told when something new is known of crashes. */
export type QuarantineListener = (source: QuarantineSource) => void;

/** What a quarantine works with. */
export interface QuarantineOptions {
  readonly timer: TimerService;
  readonly log: GatewayLog;
}

/** Poison requests: those that crash the endpoints that run them. */
export class Quarantine {
  readonly #options: QuarantineOptions;
  readonly #ledger = new CrashLedger();
  readonly #served = new ServedRequests();
  /** Requests whose crashes this daemon saw. */
  readonly #own = new Set<string>();
  readonly #listeners = new Set<QuarantineListener>();

  constructor(options: QuarantineOptions) {
    this.#options = options;
  }

  get size(): number {
    return this.#ledger.poison.size;
  }

  /** Equal for daemons that know the same; 0 when nothing is known. */
  get checksum(): number {
    return this.#ledger.checksum;
  }

  /** True when a request must not be sent to any endpoint. */
  holds(fingerprint: string): boolean {
    return this.#ledger.poison.has(fingerprint);
  }

  /** The requests that must not be sent. */
  get fingerprints(): ReadonlySet<string> {
    return this.#ledger.poison;
  }

  /** True when this daemon saw one of the request's crashes. */
  isOwn(fingerprint: string): boolean {
    return this.#own.has(fingerprint);
  }

  /** Drops old reports from time to time; returns the teardown. */
  register(): () => void {
    const { timer } = this.#options;
    const sweep = (): void => {
      this.#change("age", () => this.#ledger.sweep(timer.now()));
      for (const fingerprint of this.#own) {
        if (!this.#ledger.suspects.has(fingerprint)) {
          this.#own.delete(fingerprint);
        }
      }
    };
    return timer.registerInterval(sweep, SWEEP_MILLISECONDS);
  }

  /** Takes in that an endpoint crashed under a request. */
  crashed(report: CrashReport): void {
    const now = this.#options.timer.now();
    this.#own.add(report.fingerprint);
    this.#change("own", () => this.#ledger.report(report, now));
  }

  /** Takes in that an endpoint answered a request to its end. */
  served(fingerprint: string): void {
    this.#served.add(fingerprint);
    if (this.#ledger.suspects.has(fingerprint)) this.#vouch("own");
  }

  /** Takes in what others know. */
  take(page: CrashPage, source: QuarantineSource): void {
    const now = this.#options.timer.now();
    this.#change(source, () => this.#ledger.merge(page, now));
  }

  /** Everything that is known, or what concerns one request. */
  page(fingerprint?: string): CrashPage {
    return this.#ledger.page(this.#options.timer.now(), fingerprint);
  }

  registerListener(listener: QuarantineListener): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  #change(source: QuarantineSource, act: () => boolean): void {
    const before = this.#ledger.poison;
    const isNew = act();
    this.#logChange(before, source);
    if (!isNew) return;
    for (const listener of this.#listeners) listener(source);
    this.#vouch(source);
  }

  /** Clears suspects that this daemon served. */
  #vouch(source: QuarantineSource): void {
    const now = this.#options.timer.now();
    for (const fingerprint of this.#ledger.suspects) {
      if (!this.#served.has(fingerprint)) continue;
      this.#change(source, () => this.#ledger.markServed(fingerprint, now));
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

import type { TimerService } from "kelpspar-shared";
import type { Figures } from "../experiment.ts";
import type { ExperimentSite } from "../site/experiment_site.ts";
import { round } from "../measure/statistics.ts";
import { requestAsOperator } from "./operator_client.ts";

const POLL_MILLISECONDS = 100;
const MILLISECONDS_PER_SECOND = 1_000;

/** Polls the revision in force at each daemon. */
export class RevisionMonitor {
  readonly #site: ExperimentSite;
  readonly #timer: TimerService;
  readonly #acceptedAt = new Map<number, number>();
  /** When each revision, or a higher one, was first in force at every daemon. */
  readonly #everywhereAt = new Map<number, number>();
  readonly #lastRevisions = new Map<string, number>();
  #regressions = 0;

  constructor(options: {
    readonly site: ExperimentSite;
    readonly timer: TimerService;
  }) {
    this.#site = options.site;
    this.#timer = options.timer;
  }

  /** Starts polling; returns the teardown. */
  start(): () => void {
    return this.#timer.registerInterval(
      () => void this.#poll(),
      POLL_MILLISECONDS,
    );
  }

  /** Records that a revision was accepted now. */
  accepted(revision: number): void {
    this.#acceptedAt.set(revision, this.#timer.now());
  }

  /** Seconds from acceptance until in force everywhere; undefined if never. */
  secondsToEverywhere(revision: number): number | undefined {
    const from = this.#acceptedAt.get(revision);
    const to = this.#everywhereAt.get(revision);
    if (from === undefined || to === undefined) return undefined;
    return round((to - from) / MILLISECONDS_PER_SECOND, 2);
  }

  /** Propagation times, and how often a daemon returned to a lower revision. */
  figures(): Figures {
    const revisions = [...this.#acceptedAt.keys()];
    const times = revisions.flatMap((revision) =>
      this.secondsToEverywhere(revision) ?? []
    );
    return {
      acceptedRevisions: revisions.length,
      neverEverywhere: revisions.length - times.length,
      secondsToEverywhereMost: Math.max(...times),
      wentBack: this.#regressions,
    };
  }

  async #poll(): Promise<void> {
    const { daemons } = this.#site;
    await Promise.all(daemons.map(async ({ id, port }) => {
      const answer = await requestAsOperator(port, {
        method: "GET",
        path: "/v1/operator/status",
      }, { timer: this.#timer });
      if (answer === undefined) return;
      const { revision } = answer.body as { readonly revision: number };
      const before = this.#lastRevisions.get(id) ?? 0;
      if (revision < before) this.#regressions++;
      this.#lastRevisions.set(id, revision);
    }));
    const lowest = Math.min(
      ...daemons.map(({ id }) => this.#lastRevisions.get(id) ?? 0),
    );
    for (const revision of this.#acceptedAt.keys()) {
      if (revision > lowest || this.#everywhereAt.has(revision)) continue;
      this.#everywhereAt.set(revision, this.#timer.now());
    }
  }
}

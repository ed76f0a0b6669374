import type { TimerService } from "kelpspar-shared";
import type { Figures } from "../experiment.ts";
import type { ExperimentSite } from "../site/experiment_site.ts";
import { round } from "../measure/statistics.ts";
import { askAsOperator } from "./operator_client.ts";

const LOOK_MILLISECONDS = 100;
const MILLISECONDS_A_SECOND = 1_000;

/** Follows the revision in force at each daemon. */
export class RevisionWatch {
  readonly #site: ExperimentSite;
  readonly #timer: TimerService;
  readonly #acceptedAt = new Map<number, number>();
  /** When a revision or a higher one was first seen at every daemon. */
  readonly #everywhereAt = new Map<number, number>();
  readonly #seen = new Map<string, number>();
  #wentBack = 0;

  constructor(options: {
    readonly site: ExperimentSite;
    readonly timer: TimerService;
  }) {
    this.#site = options.site;
    this.#timer = options.timer;
  }

  /** Looks now and again; returns the teardown. */
  start(): () => void {
    return this.#timer.registerInterval(
      () => void this.#look(),
      LOOK_MILLISECONDS,
    );
  }

  /** Says that a revision was accepted now. */
  accepted(revision: number): void {
    this.#acceptedAt.set(revision, this.#timer.now());
  }

  /** From acceptance to in force everywhere; undefined if it never was. */
  secondsToEverywhere(revision: number): number | undefined {
    const from = this.#acceptedAt.get(revision);
    const to = this.#everywhereAt.get(revision);
    if (from === undefined || to === undefined) return undefined;
    return round((to - from) / MILLISECONDS_A_SECOND, 2);
  }

  /** How long revisions took, and whether a daemon went back. */
  figures(): Figures {
    const revisions = [...this.#acceptedAt.keys()];
    const times = revisions.flatMap((revision) =>
      this.secondsToEverywhere(revision) ?? []
    );
    return {
      acceptedRevisions: revisions.length,
      neverEverywhere: revisions.length - times.length,
      secondsToEverywhereMost: Math.max(...times),
      wentBack: this.#wentBack,
    };
  }

  async #look(): Promise<void> {
    const { daemons } = this.#site;
    await Promise.all(daemons.map(async ({ id, port }) => {
      const answer = await askAsOperator(port, {
        method: "GET",
        path: "/v1/operator/status",
      }, { timer: this.#timer });
      if (answer === undefined) return;
      const { revision } = answer.body as { readonly revision: number };
      const before = this.#seen.get(id) ?? 0;
      if (revision < before) this.#wentBack++;
      this.#seen.set(id, revision);
    }));
    const lowest = Math.min(
      ...daemons.map(({ id }) => this.#seen.get(id) ?? 0),
    );
    for (const revision of this.#acceptedAt.keys()) {
      if (revision > lowest || this.#everywhereAt.has(revision)) continue;
      this.#everywhereAt.set(revision, this.#timer.now());
    }
  }
}

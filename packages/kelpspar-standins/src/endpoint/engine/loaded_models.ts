import type { DesiredEngineState, TimerService } from "kelpspar-shared";

/**
 * The models of an engine. They are loaded one at a time; a model is listed only
 * after its load has completed.
 */
export class LoadedModels {
  readonly #timer: TimerService;
  readonly #loadMilliseconds: () => number;
  #ready: Map<string, string>;
  #desired: ReadonlyMap<string, string>;
  #loading: string | undefined;
  #stopTimer: () => void = () => {};

  constructor(options: {
    readonly timer: TimerService;
    /** Returns the current time of one load, milliseconds. */
    readonly loadMilliseconds: () => number;
    readonly models: Readonly<Record<string, string>>;
  }) {
    this.#timer = options.timer;
    this.#loadMilliseconds = options.loadMilliseconds;
    this.#ready = new Map(Object.entries(options.models));
    this.#desired = this.#ready;
  }

  /** Versions of loaded models, by model. */
  get ready(): Readonly<Record<string, string>> {
    return Object.fromEntries(this.#ready);
  }

  get isLoading(): boolean {
    return this.#loading !== undefined;
  }

  has(model: string): boolean {
    return this.#ready.has(model);
  }

  /** Unloads undesired models at once, then loads missing ones. */
  setDesired(models: DesiredEngineState["models"]): void {
    this.#desired = new Map(Object.entries(models));
    const kept = [...this.#ready].filter(([model, version]) =>
      this.#desired.get(model) === version
    );
    this.#ready = new Map(kept);
    if (this.#loading !== undefined && !this.#isDesired(this.#loading)) {
      this.#stopTimer();
      this.#loading = undefined;
    }
    this.#loadNext();
  }

  close(): void {
    this.#stopTimer();
  }

  #loadNext(): void {
    if (this.#loading !== undefined) return;
    for (const [model, version] of this.#desired) {
      if (this.#ready.has(model)) continue;
      this.#loading = toKey(model, version);
      this.#stopTimer = this.#timer.registerTimeout(() => {
        this.#loading = undefined;
        this.#ready.set(model, version);
        this.#loadNext();
      }, this.#loadMilliseconds());
      return;
    }
  }

  #isDesired(loading: string): boolean {
    return [...this.#desired].some((entry) => toKey(...entry) === loading);
  }
}

function toKey(model: string, version: string): string {
  return JSON.stringify([model, version]);
}

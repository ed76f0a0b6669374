import type { DesiredEngineState, TimerService } from "kelpspar-shared";

/**
 * The models an engine has. Loading goes one model at a time and takes time; a
 * model shows only when it is whole.
 */
export class LoadedModels {
  readonly #timer: TimerService;
  readonly #loadMilliseconds: () => number;
  #ready: Map<string, string>;
  #wanted: ReadonlyMap<string, string>;
  #loading: string | undefined;
  #stopTimer: () => void = () => {};

  constructor(options: {
    readonly timer: TimerService;
    /** Time of one load as things stand, milliseconds. */
    readonly loadMilliseconds: () => number;
    readonly models: Readonly<Record<string, string>>;
  }) {
    this.#timer = options.timer;
    this.#loadMilliseconds = options.loadMilliseconds;
    this.#ready = new Map(Object.entries(options.models));
    this.#wanted = this.#ready;
  }

  /** Models that are ready, with their version. */
  get ready(): Readonly<Record<string, string>> {
    return Object.fromEntries(this.#ready);
  }

  get isLoading(): boolean {
    return this.#loading !== undefined;
  }

  has(model: string): boolean {
    return this.#ready.has(model);
  }

  /** Unloads at once what is not wanted, then loads what is missing. */
  want(models: DesiredEngineState["models"]): void {
    this.#wanted = new Map(Object.entries(models));
    const kept = [...this.#ready].filter(([model, version]) =>
      this.#wanted.get(model) === version
    );
    this.#ready = new Map(kept);
    if (this.#loading !== undefined && !this.#isWanted(this.#loading)) {
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
    for (const [model, version] of this.#wanted) {
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

  #isWanted(loading: string): boolean {
    return [...this.#wanted].some((entry) => toKey(...entry) === loading);
  }
}

function toKey(model: string, version: string): string {
  return JSON.stringify([model, version]);
}

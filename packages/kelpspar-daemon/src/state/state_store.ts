import { invariant } from "kelpspar-shared";

/** Called with each new snapshot and the previous one. */
export type StateListener<State> = (state: State, before: State) => void;

/**
 * Holds one immutable snapshot. It changes only through `update`, and listeners
 * get only finished snapshots, so no reader sees a partial update.
 */
export class StateStore<State extends object> {
  #state: State;
  #isUpdating = false;
  readonly #listeners = new Set<StateListener<State>>();

  constructor(initialState: State) {
    this.#state = Object.freeze(initialState);
  }

  /** The current snapshot. */
  read(): State {
    return this.#state;
  }

  /** Replaces fields of the snapshot; `change` must not call `update`. */
  update(change: (state: State) => Partial<State>): void {
    invariant(!this.#isUpdating, 9001);
    const before = this.#state;
    this.#isUpdating = true;
    try {
      this.#state = Object.freeze({ ...before, ...change(before) });
    } finally {
      this.#isUpdating = false;
    }
    for (const listener of this.#listeners) listener(this.#state, before);
  }

  /** Adds a listener; returns its teardown. */
  registerListener(listener: StateListener<State>): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }
}

import { invariant } from "kelpspar-shared";

/** Told of each finished snapshot and of the one before it. */
export type StateListener<State> = (state: State, before: State) => void;

/**
 * Holds one immutable snapshot. Changes happen inside one update, and
 * listeners see only finished snapshots, so no reader meets a state that is
 * half changed.
 */
export class StateStore<State extends object> {
  #state: State;
  #updating = false;
  readonly #listeners = new Set<StateListener<State>>();

  constructor(initialState: State) {
    this.#state = Object.freeze(initialState);
  }

  /** The snapshot in force. */
  read(): State {
    return this.#state;
  }

  /** Replaces fields of the snapshot; `change` must not call `update`. */
  update(change: (state: State) => Partial<State>): void {
    invariant(!this.#updating, 9001);
    const before = this.#state;
    this.#updating = true;
    try {
      this.#state = Object.freeze({ ...before, ...change(before) });
    } finally {
      this.#updating = false;
    }
    for (const listener of this.#listeners) listener(this.#state, before);
  }

  /** Adds a listener; returns its teardown. */
  registerListener(listener: StateListener<State>): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }
}

/** A revision that came into force at a daemon. */
export interface ActiveRevision {
  readonly revision: number;
  readonly at: number;
}

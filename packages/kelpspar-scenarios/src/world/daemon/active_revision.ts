/** A revision that came into force at a daemon. */
export interface RevisionInForce {
  readonly revision: number;
  readonly at: number;
}

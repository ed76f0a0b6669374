import type { WeightGrant, WeightStore } from "kelpspar-platform";

/** A weight store that always grants. */
export class GrantingWeightStore implements WeightStore {
  async requestLoad(): Promise<WeightGrant> {
    return { granted: true, retryAfterMilliseconds: 0 };
  }
}

import type { WeightGrant, WeightStore } from "kelpspar-backends";

/** A weight store that grants every request. */
export class GrantingWeightStore implements WeightStore {
  async requestLoad(): Promise<WeightGrant> {
    return { granted: true, retryAfterMilliseconds: 0 };
  }
}

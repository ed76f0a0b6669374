import type { EndpointEntry } from "./endpoint_entry.ts";
import type { RegionOfZone } from "./candidate_pool.ts";
import { CandidatePool } from "./candidate_pool.ts";

/** Returns the key of the pool of a service, or of a service and model. */
export function poolKeyOf(service: string, model = ""): string {
  return model === "" ? service : `${service}/${model}`;
}

/** Index of candidate pools by service and model. */
export class CandidatePools {
  readonly #regionOf: RegionOfZone;
  readonly #services = new Map<string, Map<string, CandidatePool>>();

  constructor(regionOf: RegionOfZone) {
    this.#regionOf = regionOf;
  }

  /** The pool of a service and model (empty string for no model), if any. */
  find(service: string, model: string): CandidatePool | undefined {
    return this.#services.get(service)?.get(model);
  }

  /** Moves `entry` to exactly the pools of `models` within its service. */
  place(entry: EndpointEntry, models: readonly string[]): void {
    this.remove(entry);
    const service = entry.address.service;
    const byModel = this.#services.get(service) ?? new Map();
    this.#services.set(service, byModel);
    entry.pools = models.map((model) => {
      const pool: CandidatePool = byModel.get(model) ??
        new CandidatePool(poolKeyOf(service, model), this.#regionOf);
      byModel.set(model, pool);
      pool.add(entry);
      return pool;
    });
  }

  /** Removes `entry` from all pools. */
  remove(entry: EndpointEntry): void {
    for (const pool of entry.pools) pool.remove(entry);
    entry.pools = [];
  }
}

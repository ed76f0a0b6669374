import type { EndpointHealth } from "./endpoint_health.ts";

/** Endpoints that do the same work and are judged against each other. */
export class HealthPool {
  readonly key: string;
  readonly members = new Set<EndpointHealth>();
  /** The median of the members' latencies, milliseconds, when last judged. */
  medianMilliseconds: number | undefined;
  /** True when a latency came in since the pool was last judged. */
  hasNewLatencies = false;

  constructor(key: string) {
    this.key = key;
  }

  countEjected(): number {
    let count = 0;
    for (const member of this.members) {
      if (member.isEjected) count++;
    }
    return count;
  }

  countFailing(): number {
    let count = 0;
    for (const member of this.members) if (member.failing) count++;
    return count;
  }
}

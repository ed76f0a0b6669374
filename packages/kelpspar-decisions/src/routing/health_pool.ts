import type { EndpointHealth } from "./endpoint_health.ts";

/** Endpoints that serve the same calls and are compared with each other. */
export class HealthPool {
  readonly key: string;
  readonly members = new Set<EndpointHealth>();
  /** The median of the members' latencies at the last check, milliseconds. */
  medianMilliseconds: number | undefined;
  /** True when a latency was added since the last check. */
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

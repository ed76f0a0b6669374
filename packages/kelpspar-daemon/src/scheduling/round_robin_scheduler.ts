import type { EndpointAddress } from "kelpspar-shared";
import type { Permit } from "./permit.ts";
import type { PermitRequest } from "./permit_request.ts";
import type { Scheduler } from "./scheduler.ts";
import { KelpsparError } from "kelpspar-shared";

/** Gives the endpoints of a service in turn, without any limit. */
export class RoundRobinScheduler implements Scheduler {
  readonly #endpoints: () => readonly EndpointAddress[];
  #next = 0;

  constructor(options: {
    readonly endpoints: () => readonly EndpointAddress[];
  }) {
    this.#endpoints = options.endpoints;
  }

  acquire(request: PermitRequest): Promise<Permit> {
    const candidates = this.#endpoints().filter((endpoint) =>
      endpoint.service === request.service
    );
    const endpoint = candidates[this.#next++ % candidates.length];
    if (endpoint === undefined) {
      throw new KelpsparError(
        "no_endpoint",
        `Service "${request.service}" has no endpoint`,
      );
    }
    return Promise.resolve({ endpoint, release: () => {} });
  }
}

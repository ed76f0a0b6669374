import type { RandomSource } from "kelpspar-shared";
import type { CallFaults } from "./call_faults.ts";
import type { EndpointFaults } from "./endpoint_faults.ts";
import { drawBoolean } from "../faults/delay.ts";
import { endpointFaultsSchema } from "./endpoint_faults.ts";

/** The current faults of an endpoint and their random source. */
export class FaultInjector {
  readonly random: RandomSource;
  #faults: EndpointFaults;

  constructor(faults: EndpointFaults, random: RandomSource) {
    this.#faults = faults;
    this.random = random;
  }

  get faults(): EndpointFaults {
    return this.#faults;
  }

  /** Changes some faults. Throws a ZodError for invalid faults. */
  setFaults(changes: Partial<EndpointFaults>): void {
    this.#faults = endpointFaultsSchema.parse({ ...this.#faults, ...changes });
  }

  /** Draws the faults of the next call. */
  drawCallFaults(): CallFaults {
    const faults = this.#faults;
    const fails = drawBoolean(this.random, faults.failShare);
    const failurePoint = faults.failStarted ? "running" : "before";
    return {
      fails: fails ? failurePoint : "never",
      losesAnswer: drawBoolean(this.random, faults.loseAnswerShare),
      cuts: drawBoolean(this.random, faults.cutShare),
      progress: this.random.next(),
    };
  }
}

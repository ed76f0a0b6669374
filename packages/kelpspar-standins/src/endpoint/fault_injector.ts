import type { RandomSource } from "kelpspar-shared";
import type { CallFate } from "./call_faults.ts";
import type { EndpointFaults } from "./endpoint_faults.ts";
import { happens } from "../faults/delay.ts";
import { endpointFaultsSchema } from "./endpoint_faults.ts";

/** The faults of an endpoint as they stand, and the chance behind them. */
export class FaultScript {
  readonly random: RandomSource;
  #faults: EndpointFaults;

  constructor(faults: EndpointFaults, random: RandomSource) {
    this.#faults = faults;
    this.random = random;
  }

  get faults(): EndpointFaults {
    return this.#faults;
  }

  /** Changes some faults; throws a ZodError when they are not valid. */
  setFaults(changes: Partial<EndpointFaults>): void {
    this.#faults = endpointFaultsSchema.parse({ ...this.#faults, ...changes });
  }

  /** Draws what happens to the next call. */
  drawFate(): CallFate {
    const faults = this.#faults;
    const fails = happens(this.random, faults.failShare);
    const whenItFails = faults.failStarted ? "running" : "before";
    return {
      fails: fails ? whenItFails : "never",
      losesAnswer: happens(this.random, faults.loseAnswerShare),
      cuts: happens(this.random, faults.cutShare),
      progress: this.random.next(),
    };
  }
}

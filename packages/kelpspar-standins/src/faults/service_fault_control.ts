import type { RandomSource, TimerService } from "kelpspar-shared";
import type { JsonReply } from "../http/json_reply.ts";
import type { JsonHandler, JsonRoute } from "../http/json_route.ts";
import type { ServiceFaults } from "./service_faults.ts";
import { answer, NO_REPLY, RESET } from "../http/json_reply.ts";
import { delay, drawLatency } from "./delay.ts";
import { serviceFaultsSchema } from "./service_faults.ts";

const PROTOCOL_PREFIX = "/v1/";
const STATUS_UNAVAILABLE = 503;

const OUTAGE_REPLIES: Readonly<
  Record<Exclude<ServiceFaults["outage"], "none">, JsonReply>
> = {
  unavailable: answer({ error: "outage" }, STATUS_UNAVAILABLE),
  reset: RESET,
  hang: NO_REPLY,
};

/** Applies outages and latency to the routes of a service. */
export class ServiceFaultControl {
  readonly #timer: TimerService;
  readonly #random: RandomSource;
  #faults: ServiceFaults;

  constructor(options: {
    readonly timer: TimerService;
    readonly random: RandomSource;
    readonly faults: ServiceFaults;
  }) {
    this.#timer = options.timer;
    this.#random = options.random;
    this.#faults = options.faults;
  }

  /** Changes some faults. Throws a ZodError for invalid faults. */
  setFaults(changes: Partial<ServiceFaults>): void {
    this.#faults = serviceFaultsSchema.parse({ ...this.#faults, ...changes });
  }

  /** Wraps the protocol's routes with faults and adds the control route. */
  wrap(routes: readonly JsonRoute[]): readonly JsonRoute[] {
    const wrapped = routes.map((route) =>
      route.path.startsWith(PROTOCOL_PREFIX)
        ? { ...route, handler: this.#withFaults(route.handler) }
        : route
    );
    return [...wrapped, {
      method: "POST",
      path: "/control/faults",
      handler: ({ body }) => {
        this.setFaults(body as Partial<ServiceFaults>);
        return answer(this.#faults);
      },
    }];
  }

  #withFaults(handler: JsonHandler): JsonHandler {
    return async (request) => {
      const { outage } = this.#faults;
      if (outage !== "none") return OUTAGE_REPLIES[outage];
      const latency = drawLatency(this.#random, this.#faults);
      if (latency > 0) await delay(this.#timer, latency);
      return await handler(request);
    };
  }
}

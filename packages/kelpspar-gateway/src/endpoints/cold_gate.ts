import type { RandomSource } from "kelpspar-shared";
import type { ConfigurationKeeper } from "../configuration/configuration_keeper.ts";
import type { EndpointState } from "./endpoint_state.ts";
import { ColdPace } from "kelpspar-decisions/routing";

/**
 * Who chooses endpoints: the coordinator, which places requests to models for
 * all daemons, or each daemon for its own requests.
 */
export type EndpointChooser = "coordinator" | "daemon";

/** What a gate works with. */
export interface ColdGateOptions {
  readonly chooser: EndpointChooser;
  readonly configuration: Pick<ConfigurationKeeper, "table">;
  readonly random: RandomSource;
  /** Daemons that there may be, this one among them. */
  readonly sharers: () => number;
}

/** Of what a cold model endpoint bears, the part that a coordinator places. */
const PLACED_SHARE = 0.5;

/**
 * Decides whether a cold endpoint may get one more request, so that all daemons
 * together send it no more than it bears.
 */
export class ColdGate {
  readonly #options: ColdGateOptions;
  readonly #pace: ColdPace;

  constructor(options: ColdGateOptions) {
    this.#options = options;
    this.#pace = new ColdPace(options.random);
  }

  /** True for endpoints that aren't cold, and for cold ones within the limit. */
  isOpen(endpoint: EndpointState, now: number): boolean {
    if (!endpoint.isCold(now)) return true;
    const perSecond = this.#limitOf(endpoint.entry.service);
    if (perSecond === undefined) return true;
    const { chooser } = this.#options;
    const sharers = chooser === "coordinator" ? 1 : this.#options.sharers();
    return this.#pace.maySend(endpoint.entry.id, { perSecond, sharers, now });
  }

  /** Notes that an endpoint was chosen. */
  chosen(endpoint: EndpointState, now: number): void {
    if (endpoint.isCold(now)) this.#pace.sent(endpoint.entry.id, now);
  }

  /** What this chooser may send a cold endpoint, requests a second. */
  #limitOf(service: string): number | undefined {
    const { configuration, chooser } = this.#options;
    const definition = configuration.table?.findService(service);
    const limit = definition?.coldRequestsPerSecond;
    if (limit === undefined) return undefined;
    if (chooser === "coordinator") return limit * PLACED_SHARE;
    // Only model endpoints are placed by the coordinator as well.
    const isPlaced = definition?.engineSlots !== undefined;
    return isPlaced ? limit * (1 - PLACED_SHARE) : limit;
  }
}

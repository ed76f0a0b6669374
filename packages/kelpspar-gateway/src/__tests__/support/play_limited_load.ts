import type { EndpointChooser } from "../../endpoints/endpoint_rate_limiter.ts";
import type { EndpointState } from "../../endpoints/endpoint_state.ts";
import { SeededRandom } from "kelpspar-shared";
import { EndpointRegistry } from "../../endpoints/endpoint_registry.ts";
import { EndpointRateLimiter } from "../../endpoints/endpoint_rate_limiter.ts";
import { EndpointLimits } from "../../endpoints/endpoint_limits.ts";
import { configurationOf } from "./configuration_of.ts";

const SERVICE = "service";
const STEP_MILLISECONDS = 10;
const MILLISECONDS_PER_SECOND = 1_000;
/** Limits apply to the requests in any window of this length. */
const WINDOW_MILLISECONDS = 4_000;

/** Load of a fleet on endpoints with limits. */
export interface LimitedLoad {
  readonly daemons: number;
  readonly endpoints: number;
  /** Limit of each endpoint at a time, requests per second. */
  readonly limitAt: (now: number) => number;
  /** Arrival rate at the fleet at a time, requests per second. */
  readonly perSecondAt: (now: number) => number;
  readonly milliseconds: number;
  readonly seed: number;
  /** Whether the endpoints serve a model; default: a plain service. */
  readonly isModel?: boolean;
  /** Daemons that act as coordinator; default: one. */
  readonly coordinators?: number;
  /** Interval at which a daemon restarts; default: never. */
  readonly restartEveryMilliseconds?: number;
  /** Fleet size as seen by each daemon; default: all daemons. */
  readonly visibleDaemons?: number;
}

/** Result of a played load. */
export interface LimitedPlay {
  /** Times of sends by endpoint, milliseconds. */
  readonly sentAt: readonly (readonly number[])[];
  readonly asked: number;
}

/** Plays requests that can only be sent to endpoints with limits. */
export function playLimitedLoad(load: LimitedLoad): LimitedPlay {
  const random = new SeededRandom(load.seed);
  const limits = new EndpointLimits();
  const configuration = configurationOf([{
    name: SERVICE,
    pieces: undefined,
    engineSlots: load.isModel === true ? 64 : undefined,
  }]);
  const registry = createRegistry(load.endpoints);
  const endpoints = registry.availableFor(SERVICE);
  const sentAt = endpoints.map((): number[] => []);
  const createRateLimiter = (chooser: EndpointChooser): EndpointRateLimiter =>
    new EndpointRateLimiter({
      chooser,
      configuration,
      limits,
      random,
      senderCount: () =>
        chooser === "daemon" ? load.visibleDaemons ?? load.daemons : 1,
    });
  const daemons = Array.from(
    { length: load.daemons },
    () => createRateLimiter("daemon"),
  );
  const coordinators = Array.from(
    { length: load.coordinators ?? 1 },
    () => createRateLimiter("coordinator"),
  );
  let asked = 0;
  let due = 0;
  for (let now = 0; now < load.milliseconds; now += STEP_MILLISECONDS) {
    for (const { entry } of endpoints) {
      limits.record(entry, load.limitAt(now), now);
    }
    const { restartEveryMilliseconds: every } = load;
    if (every !== undefined && now > 0 && now % every === 0) {
      daemons[(now / every) % load.daemons] = createRateLimiter("daemon");
    }
    due += load.perSecondAt(now) * STEP_MILLISECONDS / MILLISECONDS_PER_SECOND;
    for (; due >= 1; due--) {
      asked++;
      const index = random.nextInteger(load.daemons);
      const coordinator = coordinators[index % coordinators.length];
      const rateLimiters = [
        daemons[index],
        coordinator,
      ] as EndpointRateLimiter[];
      const sent = send(endpoints, rateLimiters, now);
      if (sent !== undefined) sentAt[sent]?.push(now);
    }
    // Each daemon checks every endpoint, whether it uses it or not.
    for (const limiter of daemons) {
      for (const endpoint of endpoints) limiter.isWithinLimit(endpoint, now);
    }
  }
  return { sentAt, asked };
}

/** Most sends to one endpoint in any window that starts at `from` or later. */
export function maximumInWindow(sentAt: readonly number[], from = 0): number {
  const late = sentAt.filter((at) => at >= from);
  return Math.max(
    0,
    ...late.map((start) =>
      late.filter((at) => at >= start && at < start + WINDOW_MILLISECONDS)
        .length
    ),
  );
}

function send(
  endpoints: readonly EndpointState[],
  rateLimiters: readonly EndpointRateLimiter[],
  now: number,
): number | undefined {
  for (const rateLimiter of rateLimiters) {
    const index = endpoints.findIndex((endpoint) =>
      rateLimiter.isWithinLimit(endpoint, now)
    );
    const chosen = endpoints[index];
    if (chosen === undefined) continue;
    rateLimiter.recordRequest(chosen, now);
    return index;
  }
  return undefined;
}

function createRegistry(endpoints: number): EndpointRegistry {
  const registry = new EndpointRegistry();
  for (let index = 0; index < endpoints; index++) {
    registry.upsert({
      id: `i${index}`,
      bornAt: 1,
      service: SERVICE,
      address: `10.0.0.1:${index}`,
      zone: "a",
      slots: 4,
      isDraining: false,
    }, 0);
  }
  return registry;
}

import type { EndpointEntry } from "../../endpoints/endpoint_entry.ts";
import { expect } from "earl";
import { ManualTimer, SeededRandom } from "kelpspar-shared";
import { test } from "node:test";
import { EndpointRegistry } from "../../endpoints/endpoint_registry.ts";
import { ConnectionAttempts } from "../../isolation/connection_attempts.ts";
import { IsolationMonitor } from "../../isolation/isolation_monitor.ts";

const PROBE_INTERVAL_MILLISECONDS = 250;
const SERVICES = ["plain", "model", "stage"];

interface MonitorWorld {
  readonly timer: ManualTimer;
  readonly monitor: IsolationMonitor;
  /** Isolations and their ends, in order. */
  readonly changes: readonly boolean[];
  readonly checked: readonly EndpointEntry[];
  readonly attempts: ConnectionAttempts;
  /** Reports a failed attempt; resolves to whether the daemon is isolated. */
  readonly fail: (endpointId: string) => Promise<boolean>;
}

function createMonitor(
  isReachable: (entry: EndpointEntry) => boolean,
): MonitorWorld {
  const timer = new ManualTimer();
  const registry = new EndpointRegistry();
  for (const [index, service] of [...SERVICES, ...SERVICES].entries()) {
    const address = `10.0.0.${index}:80`;
    registry.upsert({
      id: `${service}-${index}`,
      bornAt: 0,
      service,
      address,
      zone: "a",
      slots: 4,
      isDraining: false,
    }, 0);
  }
  const attempts = new ConnectionAttempts();
  const changes: boolean[] = [];
  const checked: EndpointEntry[] = [];
  const monitor = new IsolationMonitor({
    registry,
    attempts,
    timer,
    random: new SeededRandom(1),
    log: { info: () => {}, warn: () => {} },
    endpoints: {
      check: async (entry) => {
        checked.push(entry);
        await Promise.resolve();
        const isConnected = isReachable(entry);
        attempts.publish({
          endpointId: entry.id,
          isConnected,
          startedAt: timer.now(),
        });
        return isConnected ? "listening" : "refused";
      },
    },
  });
  monitor.register();
  monitor.registerListener((isIsolated) => changes.push(isIsolated));
  const fail = async (endpointId: string): Promise<boolean> => {
    const startedAt = timer.now();
    attempts.publish({ endpointId, isConnected: false, startedAt });
    return await monitor.verified();
  };
  return { timer, monitor, changes, checked, attempts, fail };
}

test("a daemon that reaches no endpoint is isolated until one accepts", async () => {
  let isPartitioned = true;
  const { timer, monitor, changes, fail } = createMonitor(() => !isPartitioned);
  expect(await fail("plain-0")).toEqual(true);
  await timer.advance(2 * PROBE_INTERVAL_MILLISECONDS);
  expect(monitor.isIsolated).toEqual(true);
  isPartitioned = false;
  await timer.advance(PROBE_INTERVAL_MILLISECONDS);
  expect(monitor.isIsolated).toEqual(false);
  expect(changes).toEqual([true, false]);
});

// Guards against a service that is down being taken for an isolation.
test("a daemon whose endpoints of one service are down isn't isolated", async () => {
  const { checked, fail } = createMonitor(({ service }) => service !== "plain");
  expect(await fail("plain-0")).toEqual(false);
  expect(new Set(checked.map(({ service }) => service)).size).toEqual(3);
});

// Guards against a check for each call of an endpoint that is down.
test("a failure that other connections explain needs no check", async () => {
  const { timer, checked, attempts } = createMonitor(() => false);
  const startedAt = timer.now();
  await timer.advance(1);
  attempts.publish({
    endpointId: "model-1",
    isConnected: true,
    startedAt: timer.now(),
  });
  attempts.publish({ endpointId: "plain-0", isConnected: false, startedAt });
  expect(checked).toEqual([]);
});

// Guards against an isolation by entries at whose addresses nothing listens.
test("a daemon that reaches one of many listed endpoints isn't isolated", async () => {
  for (const reached of ["plain-0", "model-4"]) {
    const { attempts, timer, fail } = createMonitor(({ id }) => id === reached);
    const startedAt = timer.now();
    attempts.publish({ endpointId: reached, isConnected: true, startedAt });
    await timer.advance(10);
    for (const id of ["model-1", "stage-2", "stage-5", "plain-3"]) {
      expect(await fail(id)).toEqual(false);
      await timer.advance(10);
    }
  }
});

import type { CacheEvent } from "kelpspar-shared";
import { test } from "node:test";
import { expect } from "earl";
import * as fc from "fast-check";
import { PrefixIndex } from "../../routing/mod.ts";

const HASHES = ["h0", "h1", "h2", "h3", "h4"];
const ENDPOINTS = ["e0", "e1", "e2"];

/** Model of an engine: its actual cache and all of its events. */
class Engine {
  incarnation = 1;
  events: CacheEvent[] = [];
  readonly cache = new Set<string>();

  change(prefixHash: string): void {
    const type = this.cache.has(prefixHash) ? "evicted" : "stored";
    if (type === "stored") this.cache.add(prefixHash);
    else this.cache.delete(prefixHash);
    this.events.push({ sequence: this.events.length + 1, type, prefixHash });
  }

  restart(): void {
    this.incarnation++;
    this.events = [];
    this.cache.clear();
  }
}

const stepArbitrary = fc.tuple(
  fc.constantFrom("change", "change", "change", "restart", "poll", "lossy"),
  fc.nat(ENDPOINTS.length - 1),
  fc.nat(HASHES.length - 1),
);

/** Polls events after the cursor, drops some if lossy, then a snapshot. */
function poll(
  index: PrefixIndex,
  options: { endpointId: string; engine: Engine; isLossy: boolean },
): void {
  const { endpointId, engine, isLossy } = options;
  const cursor = index.cursorOf(endpointId);
  const events = engine.events.filter((one) =>
    one.sequence > cursor && !(isLossy && one.sequence % 2 === 0)
  );
  const incarnation = `p${engine.incarnation}`;
  const lastSequence = engine.events.length;
  const page = { incarnation, events, lastSequence };
  if (index.applyPage(endpointId, page) === "nothing") return;
  const prefixHashes = [...engine.cache];
  index.applySnapshot(endpointId, { incarnation, prefixHashes, lastSequence });
}

// Guards against calls routed permanently to endpoints without their prefix: an
// event is lost, or an engine restarts and numbers its events from 1 again, and
// the gap goes unnoticed.
test("after a poll the index matches the engine's cache", () => {
  const history = fc.array(stepArbitrary, { maxLength: 60, size: "max" });
  fc.assert(
    fc.property(history, (steps) => {
      const index = new PrefixIndex();
      const engines = ENDPOINTS.map(() => new Engine());
      for (const [type, at, hash] of steps) {
        const engine = engines[at];
        if (engine === undefined) continue;
        if (type === "change") engine.change(HASHES[hash] ?? "");
        if (type === "restart") engine.restart();
        if (type !== "poll" && type !== "lossy") continue;
        const endpointId = ENDPOINTS[at] ?? "";
        poll(index, { endpointId, engine, isLossy: type === "lossy" });
        const known = HASHES.filter((one) =>
          index.holders(one).includes(endpointId)
        );
        expect(known).toEqual([...engine.cache].sort());
      }
    }),
    { seed: 5, numRuns: 1_000 },
  );
});

test("memory is bounded, and the latest stored prefixes are kept", () => {
  const index = new PrefixIndex({ maximumEntries: 10 });
  for (let sequence = 1; sequence <= 1_000; sequence++) {
    const event = { type: "stored" as const, prefixHash: `h${sequence}` };
    const events = [{ sequence, ...event }];
    index.applyPage("e", { incarnation: "p", events, lastSequence: sequence });
    expect(index.size <= 10).toEqual(true);
  }
  expect(index.holders("h991")).toEqual(["e"]);
  expect(index.holders("h990")).toEqual([]);
  index.remove("e");
  expect(index.size).toEqual(0);
});

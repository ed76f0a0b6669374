import { test } from "node:test";
import { expect } from "earl";
import * as fc from "fast-check";
import { LeavingTracker } from "../../routing/mod.ts";

const TYPES = [
  "listed",
  "reported",
  "recorded",
  "refused",
  "drain",
  "drain_vm",
  "undrain",
] as const;

/** Histories with few event types each, so that no type dominates. */
const historyArbitrary = fc.subarray([...TYPES], { minLength: 1 })
  .chain((types) =>
    fc.array(
      fc.record({
        type: fc.constantFrom(...types),
        vm: fc.constantFrom("v1", "v2", "v3", "v4"),
        process: fc.constantFrom("p1", "p1", "p2", "p3"),
        leaving: fc.constantFrom(false, false, true),
        direct: fc.boolean(),
        wait: fc.constantFrom(1, 1, 1, 20_000),
      }),
      { minLength: 1, maxLength: 14, size: "max" },
    )
  );

type Event = typeof historyArbitrary extends fc.Arbitrary<Array<infer T>> ? T
  : never;

function apply(tracker: LeavingTracker, events: readonly Event[]): void {
  let at = 0;
  for (const { type, vm, process, leaving, direct, wait } of events) {
    const state = leaving ? "leaving" as const : "live" as const;
    if (type === "listed") tracker.listed({ id: "e", incarnation: vm, state });
    if (type === "reported") {
      tracker.reported({ id: "e", incarnation: process, leaving, direct });
    }
    if (type === "recorded") tracker.recordedLeaving("e");
    if (type === "refused") tracker.refused("e", at += wait);
    if (type === "drain") tracker.drain("e");
    if (type === "drain_vm") tracker.drain("e", vm);
    if (type === "undrain") tracker.undrain("e");
  }
}

/** The VM with the latest first observation in the first `count` events. */
function vmAt(events: readonly Event[], count: number): string | undefined {
  const seen = events.slice(0, count)
    .filter((one) => one.type === "listed" || one.type === "drain_vm");
  return [...new Set(seen.map((one) => one.vm))].at(-1);
}

function processAt(
  events: readonly Event[],
  count: number,
): string | undefined {
  const seen = events.slice(0, count).filter((one) => one.type === "reported");
  return [...new Set(seen.map((one) => one.process))].at(-1);
}

/** Returns whether "e" is leaving by replaying the whole history. */
function isLeavingByReplay(events: readonly Event[]): boolean {
  const vmNow = vmAt(events, events.length);
  const processNow = processAt(events, events.length);
  const firstOf = (find: typeof vmAt): string | undefined =>
    events.map((_, index) => find(events, index + 1)).find((one) => one);
  const firstReport = events.findIndex((one) => one.type === "reported");
  const firstReportIndex = firstReport < 0 ? events.length : firstReport;
  const vmAtFirstReport = vmAt(events, firstReportIndex);
  return events.some((event, index) => {
    const vm = vmAt(events, index) ?? firstOf(vmAt);
    const process = processAt(events, index) ?? firstOf(processAt);
    const later = events.slice(index + 1);
    const isUndrained = later.some((one) => one.type === "undrain");
    const isSameVm = vmAtFirstReport === undefined || vmAtFirstReport === vm;
    const isBound = processAt(events, index) !== undefined || isSameVm;
    const isCleared = later.some((_, offset) =>
      clearsRefusals(events, index + 1 + offset)
    );
    const isMarkedBy: Record<Event["type"], boolean> = {
      listed: event.leaving && event.vm === vmNow,
      reported: event.leaving && event.process === processNow,
      recorded: isBound && process === processNow,
      refused: isThirdRefusal(events, index) && !isCleared,
      drain: vm === vmNow && !isUndrained,
      drain_vm: event.vm === vmNow && !isUndrained,
      undrain: false,
    };
    return isMarkedBy[event.type];
  });
}

/** True when the event at `index` clears earlier refusals. */
function clearsRefusals(events: readonly Event[], index: number): boolean {
  const vm = vmAt(events, index);
  const process = processAt(events, index + 1);
  if (vm !== undefined && vm !== vmAt(events, index + 1)) return true;
  if (processAt(events, index) !== process) return true;
  const event = events[index];
  return event?.type === "reported" && event.process === process &&
    event.direct && !event.leaving;
}

function isThirdRefusal(events: readonly Event[], index: number): boolean {
  let refusals = 0;
  events.slice(0, index + 1).forEach((event, at) => {
    if (clearsRefusals(events, at)) refusals = 0;
    if (event.type !== "refused") return;
    refusals = event.wait > 10_000 ? 1 : refusals + 1;
  });
  return refusals >= 3;
}

// Guards against new calls to a leaving endpoint: it reports that it is
// leaving, and a stale VM list or relayed report says that it is live. The
// latest arrival isn't the latest state.
test("the tracker agrees with a replay of all events", () => {
  fc.assert(
    fc.property(historyArbitrary, (events) => {
      const tracker = new LeavingTracker();
      apply(tracker, events);
      expect(tracker.isLeaving("e")).toEqual(isLeavingByReplay(events));
    }),
    { seed: 11, numRuns: 20_000 },
  );
});

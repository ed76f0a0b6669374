import { expect } from "earl";
import { test } from "node:test";
import { OriginFleet } from "../support/origin_fleet.ts";

const DAEMONS = 6;
const OUT_OF_STEP = "d0";
/** Longer than a stream lives, so that daemons know all of its versions. */
const LONG_AGO_MILLISECONDS = 61_000;
/** How long the daemon is out of step. */
const CUT_MILLISECONDS = 5_000;
const STEP_MILLISECONDS = 200;

/** What a daemon doesn't reach. */
type Cut = "the store" | "other daemons" | "the store and other daemons";

const CUTS: Readonly<
  Record<Cut, { readonly store: boolean; readonly daemons: boolean }>
> = {
  "the store": { store: true, daemons: false },
  "other daemons": { store: false, daemons: true },
  "the store and other daemons": { store: true, daemons: true },
};

/** Releases while the daemon is out of step: versions before, listed, gone. */
const RELEASES = {
  "a second version": { before: ["v1"], joins: ["v2"], leaves: [] },
  "a version that replaces the first": {
    before: ["v1"],
    joins: ["v2"],
    leaves: ["v1"],
  },
  "a third version": { before: ["v1", "v2"], joins: ["v3"], leaves: [] },
  "two versions in turn": { before: ["v1"], joins: ["v2", "v3"], leaves: [] },
} as const;

function createFleet(versions: readonly string[]): OriginFleet {
  const fleet = new OriginFleet();
  for (let index = 0; index < DAEMONS; index++) {
    fleet.add(`d${index}`, index % 2 === 0 ? "a" : "b", versions);
  }
  return fleet;
}

function cutOff(fleet: OriginFleet, cut: Cut, isCut: boolean): void {
  const { store, daemons } = CUTS[cut];
  const others = [...fleet.daemons.keys()].filter((id) => id !== OUT_OF_STEP);
  if (store) fleet.setCutFromStore(OUT_OF_STEP, isCut);
  if (!daemons) return;
  fleet.setReachable(OUT_OF_STEP, isCut ? [] : others);
  fleet.setFault(OUT_OF_STEP, isCut ? "silent" : "none");
}

// Guards against streams that go on at a runner of another version, since the daemon that takes them up was cut off while the version joined.
for (const cut of Object.keys(CUTS) as Cut[]) {
  for (const [name, { before, joins, leaves }] of Object.entries(RELEASES)) {
    test(`a daemon cut off from ${cut} during ${name} mixes no streams`, async () => {
      const fleet = createFleet(before);
      await fleet.timer.advance(LONG_AGO_MILLISECONDS);
      cutOff(fleet, cut, true);
      const others = [...fleet.daemons.keys()].filter((id) =>
        id !== OUT_OF_STEP
      );
      const seesList = !CUTS[cut].store;
      for (const version of joins) {
        for (const id of others) fleet.list(id, version);
        if (seesList) fleet.list(OUT_OF_STEP, version);
      }
      for (const version of leaves) {
        for (const id of others) fleet.unlist(id, version);
        if (seesList) fleet.unlist(OUT_OF_STEP, version);
      }
      const begun = new Map<string, string>();
      for (let at = 0; at < 2 * CUT_MILLISECONDS; at += STEP_MILLISECONDS) {
        if (at === CUT_MILLISECONDS) {
          cutOff(fleet, cut, false);
          for (const version of joins) fleet.list(OUT_OF_STEP, version);
          for (const version of leaves) fleet.unlist(OUT_OF_STEP, version);
        }
        const starter = others[begun.size % others.length] ?? "";
        for (const version of joins) {
          const mayBegin = leaves.length > 0 ||
            fleet.isSettled(starter, version);
          if (!mayBegin) continue;
          const attemptId = `s${begun.size}`;
          await fleet.begin(starter, { attemptId, version });
          begun.set(attemptId, version);
        }
        await fleet.timer.advance(STEP_MILLISECONDS);
        for (const [attemptId, version] of [...begun].slice(-4)) {
          const lookup = await fleet.find(OUT_OF_STEP, attemptId);
          const concluded = lookup.type === "known"
            ? lookup.origin.version
            : version;
          expect(concluded).toEqual(version);
        }
      }
      expect(begun.size > 0).toEqual(true);
    });
  }
}

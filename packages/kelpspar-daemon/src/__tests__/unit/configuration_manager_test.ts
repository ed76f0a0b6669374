import { expect } from "earl";
import fc from "fast-check";
import { test } from "node:test";
import { ManualTimer } from "kelpspar-shared";
import { ConfigurationKeeper } from "../../configuration/configuration_manager.ts";
import { createDaemonState } from "../../state/daemon_state.ts";
import { StateStore } from "../../state/state_store.ts";
import { createConfiguration, createRow } from "../support/test_site.ts";

const events = fc.array(
  fc.record({
    kind: fc.constantFrom("offer", "offer_unreadable", "proof", "wait"),
    revision: fc.integer({ min: 0, max: 9 }),
    source: fc.constantFrom("table", "peer"),
  }),
  { maxLength: 20 },
);

test("the configuration in force never goes back, whoever brings what when", () =>
  // Symptom: a change that was accepted and in force is not any more.
  // Sequence: the table, peers and operators bring revisions in any order, some
  // late, some that this program cannot read, some by their number only.
  // Cause: the last one that arrives is taken for the newest.
  fc.assert(
    fc.asyncProperty(events, async (sequence) => {
      const timer = new ManualTimer();
      const state = new StateStore(createDaemonState());
      const keeper = new ConfigurationKeeper({
        state,
        timer,
        onInForce: () => {},
        onNotUnderstood: () => {},
      });
      let inForce = 0;
      let highest = 0;
      for (const { kind, revision, source } of sequence) {
        const site = `site-${revision}`;
        const content = kind === "offer" ? createConfiguration({ site }) : {};
        if (kind === "proof") keeper.noteProof(revision, "peer");
        else if (kind === "wait") await timer.advance(1_000);
        else keeper.offer(createRow(revision, content), source);
        if (kind === "offer") inForce = Math.max(inForce, revision);
        if (kind !== "wait") highest = Math.max(highest, revision);
        const now = state.read();
        expect(now.configurationRow?.revision ?? 0).toEqual(inForce);
        expect(now.configuration?.site)
          .toEqual(inForce === 0 ? undefined : `site-${inForce}`);
        expect(keeper.stance === "serve")
          .toEqual(inForce > 0 && inForce === highest);
      }
    }),
    { seed: 1, numRuns: 300 },
  ));

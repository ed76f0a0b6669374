import { expect } from "earl";
import fc from "fast-check";
import { test } from "node:test";
import { ManualTimer } from "kelpspar-shared";
import { ConfigurationManager } from "../../configuration/configuration_manager.ts";
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

test("the active configuration never reverts, whatever the order and source of revisions", () =>
  // Failure: an accepted and active change is reverted. Revisions arrive from
  // the table and peers in any order, some late, some that this program version
  // cannot parse, some by number only; the last to arrive is taken for the
  // newest.
  fc.assert(
    fc.asyncProperty(events, async (sequence) => {
      const timer = new ManualTimer();
      const state = new StateStore(createDaemonState());
      const manager = new ConfigurationManager({
        state,
        timer,
        onActivated: () => {},
        onUnsupportedRevision: () => {},
      });
      let active = 0;
      let highest = 0;
      for (const { kind, revision, source } of sequence) {
        const site = `site-${revision}`;
        const content = kind === "offer" ? createConfiguration({ site }) : {};
        if (kind === "proof") manager.noteAcceptedRevision(revision, "peer");
        else if (kind === "wait") await timer.advance(1_000);
        else manager.offer(createRow(revision, content), source);
        if (kind === "offer") active = Math.max(active, revision);
        if (kind !== "wait") highest = Math.max(highest, revision);
        const now = state.read();
        expect(now.configurationRow?.revision ?? 0).toEqual(active);
        expect(now.configuration?.site)
          .toEqual(active === 0 ? undefined : `site-${active}`);
        expect(manager.stance === "serve")
          .toEqual(active > 0 && active === highest);
      }
    }),
    { seed: 1, numRuns: 300 },
  ));

import type { ClaimAttempt } from "../../claims/mod.ts";
import type { Model } from "./claims_model.ts";
import { test } from "node:test";
import { expect } from "earl";
import { advanceClaim } from "../../claims/mod.ts";
import { moves } from "./claims_model.ts";
import { describe, faultOf, pruneLateWrites } from "./claims_model_checks.ts";

// Model check: guards against a key that runs twice, a refusal with `not_run`
// of a request that ran, and a caller that receives the result of another
// request.
//
// Explores every sequence within the budgets below, until no new state appears
// or up to the stated depth: two daemons; a caller that retries at either of
// them and finally reuses the key for another body; table writes whose answer
// is lost, that arrive late or twice, or that are refused; daemons that crash
// or pause (one takes no step while the others do).
//
// Possible causes: a dispatch before the claim is confirmed, a release that
// doesn't fence off late writes, a foreign claim treated as free.

/** Maximum number of submissions and of each fault, and the maximum depth. */
const BUDGETS = [
  { submit: 2, lose: 2, crash: 1, refuse: 1, most: Infinity },
  { submit: 3, lose: 0, crash: 1, refuse: 0, most: Infinity },
  { submit: 3, lose: 1, crash: 0, refuse: 0, most: 12 },
] as const;

test("no interleaving runs a key twice, reports a false outcome or mixes up results", (t) => {
  const phases = new Map<string, ClaimAttempt>();
  const bases = new Set<number>();
  const answers = new Set<string>();
  for (const { most, ...budget } of BUDGETS) {
    const daemons = ["a", "b"].map((name) => ({ name, begun: 0, held: [] }));
    const parts = { row: null, network: [], submissions: [], executions: [] };
    let frontier: Model[] = [{ ...parts, daemons, ...budget }];
    const seen = new Set<string>();
    let steps = 0;
    for (; frontier.length > 0 && steps < most; steps++) {
      const next: Model[] = [];
      for (const model of frontier) {
        for (const reached of moves(model)) {
          const pruned = pruneLateWrites(reached);
          const text = describe(pruned);
          if (seen.has(text)) continue;
          seen.add(text);
          next.push(pruned);
          const fault = faultOf(pruned);
          if (fault !== undefined) {
            throw new Error(`${fault} after ${steps + 1} steps: ${text}`);
          }
          for (const { held } of pruned.daemons) {
            for (const { attempt } of held) {
              phases.set(attempt.phase, attempt);
              if (attempt.phase === "done") bases.add(attempt.baseVersion);
            }
          }
          for (const one of pruned.submissions) answers.add(one.answer);
        }
      }
      frontier = next;
    }
    const faults = JSON.stringify(budget);
    t.diagnostic(`${faults}: ${seen.size} states, ${steps} steps deep`);
  }
  // Some runs claimed a released row.
  expect([...bases].sort()).toEqual([0, 1, 2, 3, 4]);
  for (const [phase, attempt] of phases) {
    if (phase === "owned" || phase === "dispatched") continue;
    expect(() => advanceClaim(attempt, { type: "dispatch" })).toThrow(/9004/);
  }
  expect([...phases.keys()].sort()).toEqual(
    "abandoned completing dispatched done owned pending unknown unresolved"
      .split(" "),
  );
  const said = [...answers].filter((text) => !text.includes(":"));
  expect(said.sort()).toEqual(
    ["", "cut", "in_progress", "not_run", "outcome_unknown", "reused"],
  );
});

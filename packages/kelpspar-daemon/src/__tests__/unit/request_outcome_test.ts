import type { RequestContext } from "../../requests/request_context.ts";
import type { StageTrace } from "../../requests/stage_trace.ts";
import { expect } from "earl";
import { test } from "node:test";
import { outcomeForCaller } from "../../requests/request_outcome.ts";

function contextOf(
  calls: Readonly<Record<string, StageTrace["dispatches"]>>,
  mayRunElsewhere = false,
): RequestContext {
  const traces = Object.entries(calls).map(([id, dispatches]) =>
    [id, { dispatches }] as const
  );
  return {
    pipeline: { stages: [{ id: "encode" }, { id: "book" }] },
    onceStages: new Set(["book"]),
    traces: new Map(traces),
    mayRunElsewhere,
  } as unknown as RequestContext;
}

test("a booking refused before its at-most-once stage was not run", () => {
  // Failure: 296 of 347 bookings refused during a store outage were reported as
  // outcome_unknown, so callers could not resubmit them. The first stage ran,
  // and the request was refused before its booking. Only stages that had begun
  // were evaluated, and none of them had an effect.
  expect(outcomeForCaller(contextOf({ encode: ["unproved"] }))).toEqual(
    "not_run",
  );
});

test("an unproved call of the at-most-once stage, or a run elsewhere, is unknown", () => {
  const called = { encode: ["unproved" as const], book: ["unproved" as const] };
  expect(outcomeForCaller(contextOf(called))).toEqual("outcome_unknown");
  expect(outcomeForCaller(contextOf({}, true))).toEqual("outcome_unknown");
});

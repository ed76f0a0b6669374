import type { RequestContext } from "../../requests/request_context.ts";
import type { StageTrace } from "../../requests/stage_trace.ts";
import { expect } from "earl";
import { test } from "node:test";
import { outcomeOf } from "../../requests/request_outcome.ts";

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

test("a booking refused before its once-stage was not run", () => {
  // Symptom: callers of 296 of 347 bookings refused in a store outage were
  // told outcome_unknown, and could not send them again.
  // Sequence: the first stage ran; the request was refused before its booking.
  // Cause: only stages that had begun were judged, none of them effectful.
  expect(outcomeOf(contextOf({ encode: ["unproved"] }))).toEqual("not_run");
});

test("a call of the once-stage without proof, or a copy elsewhere, is unknown", () => {
  const called = { encode: ["unproved" as const], book: ["unproved" as const] };
  expect(outcomeOf(contextOf(called))).toEqual("outcome_unknown");
  expect(outcomeOf(contextOf({}, true))).toEqual("outcome_unknown");
});

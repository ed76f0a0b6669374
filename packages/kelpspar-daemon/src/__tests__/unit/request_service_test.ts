import type { KelpsparError, SubmitRequest } from "kelpspar-shared";
import type { RequestContext } from "../../requests/request_context.ts";
import type { CoreHarness } from "../support/core_harness.ts";
import { expect } from "earl";
import { test } from "node:test";
import { toKelpsparError } from "kelpspar-shared";
import { createCoreHarness } from "../support/core_harness.ts";
import { createAccount } from "../support/test_site.ts";

const DEADLINE_MILLISECONDS = 1_000;
const ENCODE = {
  service: "encode",
  model: undefined,
  exclude: new Set<string>(),
};
const BOOKING = { pipeline: "booking", idempotencyKey: "k" };

async function withHarness(
  options: Parameters<typeof createCoreHarness>[0],
  run: (harness: CoreHarness) => Promise<void>,
): Promise<void> {
  const harness = createCoreHarness(options);
  await run(harness);
  await harness.stop();
}

const ENDINGS: Readonly<
  Record<string, (harness: CoreHarness, context: RequestContext) => void>
> = {
  deadline_exceeded: () => {},
  cancelled: ({ core }, context) => core.requests.cancel(context, "a test"),
  abandoned: ({ core }, context) => core.requests.onReaderDisconnected(context),
};

for (const [name, end] of Object.entries(ENDINGS)) {
  test(`a call whose request is ${name} releases its endpoint`, () => {
    // Failure: after several missed deadlines a service stops answering. A call
    // is in flight when its request's deadline passes, or its caller cancels or
    // disconnects. The stage threw before it released its permit, and didn't
    // cancel the call at the endpoint.
    const settings = { limits: { abandonedGraceMilliseconds: 0 } };
    return withHarness({ settings }, async (harness) => {
      const { core, ports, timer } = harness;
      ports.endpoints.onCall = () => {};
      const context = harness.submit({});
      await timer.settle();
      end(harness, context);
      await timer.advance(1);
      const { final } = context.log;
      expect(final === undefined).toEqual(name === "deadline_exceeded");
      await timer.advance(DEADLINE_MILLISECONDS);
      expect({ ...context.log.final }).toLooseEqual(expect.subset({
        result: name === "abandoned" ? "cancelled" : name,
      }));
      const [call] = ports.endpoints.calls;
      expect(call?.options.signal.aborted).toEqual(true);
      expect(ports.endpoints.cancelled).toEqual([call?.call.attemptId ?? ""]);
      expect(inFlight(harness)).toEqual(0);
      expect(core.scheduler.loadOf(ENCODE).utilization).toEqual(0);
    });
  });
}

test("a full queue refuses as overloaded, not run, with a retry delay", () => {
  const accounts = [
    createAccount("large", 0.6),
    { ...createAccount("small", 0.4), maximumQueuedRequests: 1 },
  ];
  return withHarness({ configuration: { accounts } }, async (harness) => {
    harness.ports.endpoints.onCall = () => {};
    const finals = Array.from(
      { length: 40 },
      () => harness.submit({ deadlineMilliseconds: 60_000 }).log,
    );
    await harness.timer.advance(1);
    const failures = finals.flatMap(({ final }) =>
      final?.type === "failure" ? [final] : []
    );
    expect(failures.length > 0).toEqual(true);
    for (const failure of failures) {
      expect(failure.result).toEqual("overloaded");
      expect(failure.outcome).toEqual("not_run");
      expect(failure.retryAfterMilliseconds).toEqual(expect.a(Number));
    }
  });
});

test("a booking that completes after its deadline is found by its key and runs once", () =>
  // Failure: a caller that got outcome_unknown never learns that its booking was
  // made, or makes it twice. The booking's call is in flight at the deadline and
  // answers later; the caller looks up its key and resubmits the request. A
  // result after the final record was dropped.
  withHarness({}, async (harness) => {
    const { core, ports, timer } = harness;
    ports.endpoints.onCall = (call) => {
      if (call.call.stageId === "encode") call.answer("encoded");
    };
    const context = harness.submit(BOOKING);
    await timer.advance(DEADLINE_MILLISECONDS);
    expect({ ...context.log.final }).toLooseEqual(expect.subset({
      result: "deadline_exceeded",
      outcome: "outcome_unknown",
    }));
    const [call] = ports.endpoints.callsOf("book");
    expect(call?.options.signal.aborted).toEqual(false);
    call?.answer("booked");
    await timer.advance(100);
    const found = await core.lookup.find(
      context.account,
      BOOKING.idempotencyKey,
    );
    expect("result" in found && "text" in found.result && found.result.text)
      .toEqual("booked");
    const again = harness.submit({ ...BOOKING, resubmission: true });
    expect([again.log.text(), again.log.final?.type]).toEqual([
      "booked",
      "end",
    ]);
    expect(ports.endpoints.callsOf("book").length).toEqual(1);
    expect(core.claims.open).toEqual(0);
  }));

test("a refusal of a resubmission never reports not_run", () =>
  // Failure: a caller that got not_run books again, and two trucks arrive. A
  // booking's first submission got no answer, and the second one is refused for
  // any reason. The refusing daemon has no record of the first submission.
  withHarness(
    { settings: { limits: { maximumRequests: 1 } } },
    async (harness) => {
      const { core } = harness;
      const refusals: Partial<SubmitRequest>[] = [
        { pipeline: "none" },
        { pipeline: "large-only" },
        { deadlineMilliseconds: 0 },
        { idempotencyKey: "@other/0.k" },
        { idempotencyKey: "@malformed/k" },
      ];
      const check = (request: Partial<SubmitRequest>): string => {
        const first = refusalOf(harness, request);
        const again = refusalOf(harness, { ...request, resubmission: true });
        expect(again.result).toEqual(first.result);
        expect(again.outcome).toEqual("outcome_unknown");
        return first.result;
      };
      expect(refusals.map(check)).toEqual([
        "unknown_pipeline",
        "not_allowed",
        "deadline_out_of_range",
        "wrong_daemon",
        "malformed_request",
      ]);
      harness.ports.endpoints.onCall = () => {};
      harness.submit({ deadlineMilliseconds: 60_000 });
      expect(check(BOOKING)).toEqual("overloaded");
      core.state.update(() => ({ isLeaving: true }));
      expect(check(BOOKING)).toEqual("draining");
    },
  ));

test("a running hedge is not abandoned when the first call fails", () =>
  // Failure: a request fails, or makes three calls, although a call is still in
  // flight. A call is late, a hedge is sent to another endpoint, and then the
  // first endpoint dies. The first call's failure ended the hedge too.
  withHarness({}, async (harness) => {
    const { ports, timer } = harness;
    await warmUp(harness);
    const callsBefore = ports.endpoints.calls.length;
    ports.endpoints.onCall = () => {};
    const context = harness.submit({ deadlineMilliseconds: 10_000 });
    await timer.advance(200);
    const [first, hedge] = ports.endpoints.calls.slice(callsBefore);
    expect(hedge?.endpoint.endpointId === first?.endpoint.endpointId)
      .toEqual(false);
    first?.fail(new Error("reset"));
    await timer.advance(10);
    hedge?.answer("hedged");
    await timer.advance(10);
    expect([context.log.text(), context.log.final?.type])
      .toEqual(["hedged", "end"]);
    expect(ports.endpoints.calls.length - callsBefore).toEqual(2);
    expect(inFlight(harness)).toEqual(0);
  }));

/** Slow calls to raise the hedge delay, then enough calls to allow a hedge. */
async function warmUp(harness: CoreHarness): Promise<void> {
  const { ports, timer } = harness;
  for (let round = 0; round < 100; round++) {
    const milliseconds = round < 49 ? 20 : 1;
    ports.endpoints.onCall = (call) => {
      timer.registerTimeout(() => call.answer("warm"), milliseconds);
    };
    const context = harness.submit({});
    await timer.advance(20);
    expect(context.log.text()).toEqual("warm");
  }
}

function refusalOf(
  harness: CoreHarness,
  request: Partial<SubmitRequest>,
): KelpsparError {
  try {
    harness.submit(request);
  } catch (thrown) {
    return toKelpsparError(thrown);
  }
  throw new Error(`Not refused: ${JSON.stringify(request)}`);
}

function inFlight({ core, timer }: CoreHarness): number {
  return core.parts.registry.status(timer.now()).reduce(
    (sum, status) => sum + status.inFlight,
    0,
  );
}

for (const reason of ["failed", "overloaded", "leaving", "wrong_model"]) {
  test(`a booking that was started and failed as ${reason} is not retried`, () =>
    // Failure: two trucks arrive for one booking. An endpoint starts a booking,
    // then fails it with a failure record. Its reason was read as a refusal,
    // which would prove that the booking never started.
    withHarness({}, async ({ ports, timer, submit }) => {
      ports.endpoints.onCall = (call) => {
        if (call.call.stageId === "encode") return call.answer("encoded");
        call.push({ type: "failure", reason, started: true });
        call.close();
      };
      const context = submit(BOOKING);
      await timer.advance(DEADLINE_MILLISECONDS);
      expect(ports.endpoints.callsOf("book").length).toEqual(1);
      expect({ ...context.log.final }).toLooseEqual(
        expect.subset({ type: "failure", outcome: "outcome_unknown" }),
      );
    }));
}

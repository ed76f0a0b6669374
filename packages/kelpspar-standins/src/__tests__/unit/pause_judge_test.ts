import type { PausedStream } from "../../pauses/paused_stream.ts";
import type { PauseVerdict } from "../../pauses/judge_pauses.ts";
import type { RunnerRun } from "../../wire/runner_stand_in.ts";
import { expect } from "earl";
import { test } from "node:test";
import { judgePauses } from "../../pauses/judge_pauses.ts";

const STREAM: PausedStream = {
  attemptId: "p",
  address: "daemon",
  sentAt: 0,
  endedAt: 1_000,
  status: 200,
  isWhole: true,
  error: undefined,
  retryAfterMilliseconds: undefined,
  events: 2,
  text: `${event(1)}${event(2)}`,
};
const RUN: RunnerRun = {
  attemptId: "p",
  runnerId: "m0",
  at: 0,
  target: "/",
  headers: {},
  body: "",
  lastEventId: undefined,
  firstEventAt: 100,
  endedAt: 1_000,
};

function event(id: number, first = "m0", second = first): string {
  return `id: ${id}\ndata: p ${id} ${first} ${second}\n\n`;
}

function judge(
  stream: Partial<PausedStream>,
  { runs = [RUN], endings = {}, stoppedAt }: {
    readonly runs?: readonly RunnerRun[];
    readonly endings?: Readonly<Record<string, number>>;
    readonly stoppedAt?: number;
  } = {},
): PauseVerdict {
  return judgePauses({
    streams: [{ ...STREAM, ...stream }],
    runs,
    endings: new Map(Object.entries(endings)),
    stops: stoppedAt === undefined ? [] : [{
      address: "daemon",
      signalledAt: stoppedAt,
      endedAt: stoppedAt + 1_000,
      wasKilled: false,
    }],
    graceMilliseconds: 8_000,
    deadlineMilliseconds: 20_000,
  });
}

// Guards against streams that are cut while their endpoint lives and count as
// ended by it, and the other way round.
test("a stream is cut unless its endpoint ended before", () => {
  const cut = { isWhole: false, text: event(1) };
  expect(judge(cut).ends.cut).toEqual(1);
  expect(judge(cut).violations.length).toEqual(1);
  expect(judge(cut, { endings: { m0: 1_001 } }).ends.cut).toEqual(1);
  expect(judge(cut, { endings: { m1: 900 } }).ends.cut).toEqual(1);
  const ended = judge(cut, { endings: { m0: 900 } });
  expect(ended.ends.cut_by_endpoint).toEqual(1);
  expect([...ended.violations]).toEqual([]);
  const late = judge({ ...cut, endedAt: 20_000 });
  expect(late.ends.timed_out).toEqual(1);
});

// Guards against planned stops that excuse each stream that they cut.
test("a stream that a stop cuts early is lost", () => {
  const cut = { isWhole: false, text: event(1) };
  const stopped = judge(cut, { stoppedAt: 500 });
  expect(stopped.ends.cut_by_stop).toEqual(1);
  expect(stopped.violations.length).toEqual(1);
});

// Guards against streams that look whole and have events missing, twice or of
// two runs.
test("events that are missing, twice or of two runs are found", () => {
  const whole = judge({});
  expect([whole.ends.whole, whole.violations.length]).toEqual([1, 0]);
  const elsewhere = judge({ text: `${event(1)}${event(2, "m1")}` });
  expect([...elsewhere.violations]).toEqual([]);
  expect(judge({ text: event(1) }).gaps).toEqual(1);
  expect(judge({ text: event(2) }).gaps).toEqual(1);
  const repeated = `${event(1)}${event(1)}${event(2)}`;
  expect(judge({ text: repeated }).repeats).toEqual(1);
  expect(judge({ text: `${event(1)}${event(2, "m0", "m1")}` }).joined)
    .toEqual(1);
  expect(judge({ text: `${event(1)}id: 2\n${event(2)}` }).joined).toEqual(1);
});

// Guards against an endpoint that works on a stream that another one has.
test("a run that goes on beside another one is found", () => {
  const second = { ...RUN, runnerId: "m1", at: 500, firstEventAt: 590 };
  const doubled = (runs: readonly RunnerRun[]): number =>
    judge({}, { runs }).doubled;
  expect(doubled([RUN, second])).toEqual(1);
  expect(doubled([RUN, { ...second, firstEventAt: 601 }])).toEqual(0);
  const { endedAt: _, ...open } = RUN;
  expect(doubled([open, second])).toEqual(1);
  expect(doubled([RUN, { ...second, endedAt: 700 }])).toEqual(1);
  const late = { ...RUN, firstEventAt: 595, endedAt: 700 };
  expect(doubled([late, second])).toEqual(0);
  expect(doubled([{ ...late, isFinished: true }, second])).toEqual(1);
});

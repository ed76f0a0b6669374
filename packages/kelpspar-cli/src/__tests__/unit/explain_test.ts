import { expect } from "earl";
import { test } from "node:test";
import { explainRequest } from "../../explain/explain_request.ts";
import { formatTimeline } from "../../explain/format_timeline.ts";
import { parseLogLine } from "../../explain/log_line.ts";

function line(second: number, message: string, fields: object): string {
  const time = `2026-01-01T00:00:${String(second).padStart(2, "0")}.000Z`;
  return `edge-1 ${
    JSON.stringify({ time, level: "info", message, daemon: "d1", ...fields })
  }`;
}

const LOG = [
  line(1, "store lost", { table: "servers" }),
  line(5, "store lost", { table: "op" }),
  line(6, "daemon silent", { daemon: "d2", daemonId: "d1" }),
  line(7, "request ended", { attempt: "a1", outcome: "failed" }),
  line(6, "endpoint call failed", { attempt: "a1", endpoint: "i1" }),
  line(6, "piece call overdue", { attempts: "a0,a1" }),
  line(6, "request ended", { attempt: "a2" }),
  "not a line of ours {",
];

test("a timeline has a request's lines in order and its daemons' state changes", () => {
  const lines = LOG.flatMap((text) => parseLogLine(text) ?? []);
  const timeline = explainRequest("a1", lines);
  expect(timeline.own.map(({ message }) => message)).toEqual([
    "endpoint call failed",
    "piece call overdue",
    "request ended",
  ]);
  expect(timeline.around.map(({ time }) => time.slice(17, 19))).toEqual(["05"]);
  expect(formatTimeline(timeline).includes("outcome=failed")).toEqual(true);
});

test("the timeline of a fingerprint has all attempts of a request", () => {
  const lines = [
    line(1, "request sent", { attempt: "a1", fingerprint: "f1" }),
    line(2, "request quarantined", { fingerprint: "f1", crashes: "i1,i2,i3" }),
    line(3, "request ended", { attempt: "a2", fingerprint: "f1" }),
    line(3, "request ended", { attempt: "a3", fingerprint: "f2" }),
  ].flatMap((text) => parseLogLine(text) ?? []);
  const timeline = explainRequest("f1", lines);
  expect(timeline.own.length).toEqual(3);
  expect(formatTimeline(timeline).includes("attempt=a2")).toEqual(true);
  expect(formatTimeline(timeline).includes("fingerprint=")).toEqual(false);
});

test("a request without log lines is reported as such", () => {
  expect(formatTimeline(explainRequest("zz", [])))
    .toEqual('No line names request "zz"');
});

const PART_LOG = [
  line(1, "endpoint checked after truncated answer", {
    attempt: "a1",
    parts: "s,p,o1",
    state: "refused",
  }),
  line(2, "prompt parts quarantined", { parts: "p", crashes: "i1,i2,i3" }),
  line(3, "prompt parts quarantined", { parts: "q", crashes: "i4,i5,i6" }),
  line(30, "request ended", {
    attempt: "a2",
    parts: "s,p,o2",
    reason: "quarantined: prompt parts p crash endpoints",
  }),
  line(40, "quarantine released by the operator", { id: "p" }),
];

// Guards against refusals whose reason lies long before the request.
test("the timeline of a refused request has the quarantine of its part", () => {
  const lines = PART_LOG.flatMap((text) => parseLogLine(text) ?? []);
  const { around } = explainRequest("a2", lines);
  expect(around.map(({ parts }) => parts)).toEqual(["p"]);
});

// Guards against operators who can't see why a part is quarantined.
test("the timeline of a part has its crashes, its quarantine and its end", () => {
  const lines = PART_LOG.flatMap((text) => parseLogLine(text) ?? []);
  const { own } = explainRequest("p", lines);
  expect(own.map(({ time }) => time.slice(17, 19))).toEqual(["01", "02", "40"]);
});

// Guards against crashes of a part whose reporters and clearances can't be told.
test("the timeline of a part lists who saw and who cleared each crash", () => {
  const crash = {
    endpoint: "i1",
    bornAt: 5,
    parts: "s,p,o1",
    state: "refused",
  };
  const checked = "endpoint checked after truncated answer";
  const lines = [
    line(1, checked, {
      ...crash,
      isReported: true,
      weight: 0.81,
      wroteMilliseconds: 330,
    }),
    line(1, checked, { ...crash, endpoint: "i2", isReported: false }),
    line(2, "prompt parts cleared", {
      attempt: "a7",
      parts: "s,p",
      crashes: "i0 born 1,i1 born 5",
    }),
    line(3, "clearing answer crashed its endpoint", {
      attempt: "a7",
      parts: "s,p",
      crashes: "i1 born 5",
    }),
  ].flatMap((text) => parseLogLine(text) ?? []);
  const timeline = explainRequest("p", lines);
  expect(timeline.crashes).toEqual([{
    crash: "i1 born 5",
    reporters: ["d1 (wrote for 330 ms, counts 0.81)"],
    clearedBy: ["d1 a7"],
    disprovedBy: ["d1 a7"],
  }]);
  expect(formatTimeline(timeline))
    .toInclude(
      "cleared by d1 a7, of which d1 a7 crashed their endpoints later",
    );
});

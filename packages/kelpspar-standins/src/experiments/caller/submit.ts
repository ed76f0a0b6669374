import type { SubmissionEnd } from "./submission.ts";
import type { AnswerRecord, FailureRecord } from "kelpspar-shared";
import type { Dispatcher } from "undici";
import { AnswerAssembler } from "kelpspar-client";
import { isConnectFailure } from "kelpspar-backends";

const STATUS_OK = 200;

/** Options of `submit`. */
export interface Submission {
  readonly dispatcher: Dispatcher;
  readonly method: "GET" | "POST";
  readonly path: string;
  readonly callerKey: string;
  readonly body?: unknown;
  /** Aborted when the caller stops waiting. */
  readonly signal: AbortSignal;
}

/** Sends a request and reads its whole answer. Never throws. */
export async function submit(submission: Submission): Promise<SubmissionEnd> {
  const assembler = new AnswerAssembler();
  let wasAccepted = false;
  try {
    const answer = await submission.dispatcher.request({
      method: submission.method,
      path: submission.path,
      headers: {
        authorization: `Bearer ${submission.callerKey}`,
        "content-type": "application/json",
      },
      body: submission.body === undefined
        ? null
        : JSON.stringify(submission.body),
      signal: submission.signal,
    });
    if (answer.statusCode !== STATUS_OK) {
      const failure = await answer.body.json() as FailureRecord;
      return { type: "failure", failure, text: "" };
    }
    wasAccepted = true;
    return await follow(answer.body, assembler);
  } catch (thrown) {
    if (submission.signal.aborted) {
      return { type: "timed_out", text: assembler.text };
    }
    if (isConnectFailure(thrown)) return { type: "unreachable" };
    return { type: "cut", text: assembler.text, wasAccepted };
  }
}

async function follow(
  body: AsyncIterable<Uint8Array>,
  assembler: AnswerAssembler,
): Promise<SubmissionEnd> {
  const decoder = new TextDecoder();
  let rest = "";
  for await (const piece of body) {
    const lines = (rest + decoder.decode(piece, { stream: true })).split("\n");
    rest = lines.pop() ?? "";
    for (const line of lines) {
      const record = JSON.parse(line) as AnswerRecord;
      const end = processRecord(record, assembler);
      if (end !== undefined) return end;
    }
  }
  return { type: "cut", text: assembler.text, wasAccepted: true };
}

function processRecord(
  record: AnswerRecord,
  assembler: AnswerAssembler,
): SubmissionEnd | undefined {
  if (record.type === "accepted") return undefined;
  if (record.type === "chunk") {
    assembler.addChunk(record);
    return undefined;
  }
  const { text } = assembler;
  if (record.type === "failure") {
    return { type: "failure", failure: record, text };
  }
  assembler.addEnd(record);
  if (assembler.state === "whole") return { type: "whole", text, end: record };
  return { type: "corrupt", text };
}

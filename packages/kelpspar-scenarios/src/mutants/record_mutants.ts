import type { EndpointClient } from "kelpspar-backends";
import type { StageRecord } from "kelpspar-shared";
import type { InterceptedCall } from "./with_endpoints.ts";
import type { Mutant } from "./mutant.ts";
import { withEndpoints, withRecords } from "./with_endpoints.ts";

/** Mutants of the invariants that results are own, complete and unduplicated. */
export const RECORD_MUTANTS: readonly Mutant[] = [
  {
    name: "foreign_records_pass",
    removes: "A record is used only by the call that it answers",
    mutation: withRecords((record, { requestId, stageId, attemptId }) => ({
      ...record,
      requestId,
      stageId,
      attemptId,
    })),
    noticedBy: "own_results: every engine mixes in records of other calls",
  },
  {
    name: "late_attempt_passes",
    removes: "A record of an earlier attempt of the same stage is dropped",
    mutation: withRecords((record, { requestId, attemptId }) =>
      record.requestId === requestId ? { ...record, attemptId } : record
    ),
    noticedBy: "own_results: every reranker mixes in records of other calls",
  },
  {
    name: "pieces_as_they_come",
    removes: "Pieces are put together by their offset",
    mutation: withEndpoints({ call: useArrivalOrder }),
    noticedBy: "whole_answers: every engine sends records out of order",
  },
  {
    name: "doubled_pieces_as_they_come",
    removes: "A piece that comes twice counts once",
    mutation: withEndpoints({ call: useArrivalOrder }),
    noticedBy: "own_results: every engine sends every record twice",
  },
  {
    name: "cut_stream_passes",
    removes: "A result is whole only with its end record",
    mutation: withEndpoints({ call: appendEndRecord }),
    noticedBy: "own_results: engine-1 cuts every 2nd answer short",
  },
  {
    name: "length_not_compared",
    removes: "A result is whole only at the length its end record says",
    mutation: withEndpoints({ call: useReceivedLength }),
    noticedBy: "own_results: reranker-1 leaves a piece out of every 2nd answer",
  },
];

async function* useArrivalOrder(
  client: EndpointClient,
  { address, call, options }: InterceptedCall,
): AsyncGenerator<StageRecord> {
  let offset = call.resumeOffset ?? 0;
  for await (const record of client.call(address, call, options)) {
    if (record.type !== "chunk") {
      yield record;
      continue;
    }
    yield { ...record, offset };
    offset += record.text.length;
  }
}

async function* useReceivedLength(
  client: EndpointClient,
  intercepted: InterceptedCall,
): AsyncGenerator<StageRecord> {
  let length = intercepted.call.resumeOffset ?? 0;
  for await (const record of useArrivalOrder(client, intercepted)) {
    if (record.type === "chunk") length += record.text.length;
    yield record.type === "end" ? { ...record, length } : record;
  }
}

async function* appendEndRecord(
  client: EndpointClient,
  { address, call, options }: InterceptedCall,
): AsyncGenerator<StageRecord> {
  const { requestId, stageId, attemptId } = call;
  let length = call.resumeOffset ?? 0;
  let isEnded = false;
  for await (const record of client.call(address, call, options)) {
    if (record.type === "chunk") {
      length = Math.max(length, record.offset + record.text.length);
    } else {
      isEnded = true;
    }
    yield record;
  }
  if (isEnded) return;
  yield {
    type: "end",
    requestId,
    stageId,
    attemptId,
    length,
    runnerMilliseconds: 0,
    tokensIn: 0,
    tokensOut: 0,
  };
}

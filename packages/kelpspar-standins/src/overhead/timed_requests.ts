import type { Pool } from "undici";
import type { AnswerRecord, StageRecord } from "kelpspar-shared";
import { readJsonLines } from "kelpspar-shared";
import { CALLER_KEY, PLAIN_STAGES } from "./overhead_site.ts";

/** Latency and chunk count of a request, measured at its caller. */
export interface TimedRequest {
  readonly milliseconds: number;
  readonly chunks: number;
}

/** Sends a request through a daemon. Throws if the answer is incomplete. */
export async function requestThroughDaemon(
  pool: Pool,
  input: string,
): Promise<TimedRequest> {
  const startedAt = performance.now();
  const answer = await pool.request({
    method: "POST",
    path: "/v1/requests",
    headers: { authorization: `Bearer ${CALLER_KEY}` },
    body: JSON.stringify({
      pipeline: "four-stages",
      input,
      deadlineMilliseconds: 120_000,
    }),
  });
  let chunks = 0;
  let last: AnswerRecord | undefined;
  for await (const line of readJsonLines(answer.body)) {
    last = line as AnswerRecord;
    if (last.type === "chunk") chunks++;
  }
  if (last?.type !== "end") throw new Error(JSON.stringify(last));
  return { milliseconds: performance.now() - startedAt, chunks };
}

/** Calls the same four stages directly at their endpoints, in sequence. */
export async function requestDirectly(
  pools: ReadonlyMap<string, Pool>,
  input: string,
): Promise<TimedRequest> {
  const startedAt = performance.now();
  let text = input;
  let chunks = 0;
  for (const service of [...PLAIN_STAGES, "engine"]) {
    const pool = pools.get(service);
    if (pool === undefined) throw new Error(`No endpoint of "${service}"`);
    const answer = await pool.request({
      method: "POST",
      path: "/v1/calls",
      body: JSON.stringify({
        requestId: "direct",
        stageId: service,
        attemptId: Math.random().toString(36).slice(2),
        accountId: "caller",
        priority: 5,
        remainingMilliseconds: 120_000,
        input: text,
        ...(service === "engine" ? { model: "writer" } : {}),
      }),
    });
    text = "";
    for await (const line of readJsonLines(answer.body)) {
      const record = line as StageRecord;
      if (record.type !== "chunk") continue;
      text += record.text;
      chunks++;
    }
  }
  return { milliseconds: performance.now() - startedAt, chunks };
}

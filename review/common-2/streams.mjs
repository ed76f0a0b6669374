// Streams that a client takes up again after its channel broke.
import { randomBytes } from "node:crypto";
import { Channel } from "./client.mjs";
import { now, sleep } from "./platform.mjs";

const EVENT = /id: (\d+)\ndata: \d+ of (\S+)\n\n/g;

/** The whole events of a text: their ids and the versions that made them. */
export function readEvents(text) {
  return [...text.matchAll(EVENT)].map(([, id, version]) => ({
    id: Number(id),
    version,
  }));
}

/**
 * Follows a stream over several attempts, each on a new channel. `waits` are
 * the pauses before the attempts that take it up; a `Retry-After` is honoured.
 */
export async function followStream(
  { path, deadline, waits, nextAddress, onChannel = () => {} },
) {
  const startedAt = now();
  const stream = { attempts: [], events: [] };
  const createPart = () => randomBytes(4).toString("hex");
  const prompt = {
    "X-Model": "m",
    "X-Token-Count": "1200,110",
    "X-Prompt-Prefix": `${createPart()}:800,${createPart()}:400`,
  };
  for (const wait of [0, ...waits]) {
    const retryAfter = Number(stream.attempts.at(-1)?.headers?.["retry-after"]);
    await sleep(Math.max(wait, (retryAfter || 0) * 1_000));
    const left = deadline - (now() - startedAt);
    if (left <= 0) break;
    const last = stream.events.at(-1);
    const first = stream.attempts.find(({ events }) => events.length > 0);
    const channel = new Channel(nextAddress());
    onChannel(channel);
    const attempt = await channel.send({
      path,
      method: "POST",
      body: "a prompt",
      deadline: left,
      headers: last === undefined ? prompt : {
        ...prompt,
        "Last-Event-Id": String(last.id),
        Resumes: first.attemptId,
      },
    });
    channel.close();
    attempt.events = readEvents(attempt.text);
    attempt.resumesAt = last?.id;
    stream.attempts.push(attempt);
    stream.events.push(...attempt.events);
    if (attempt.status === 200 && attempt.isComplete) break;
  }
  return stream;
}

export function describeStream({ attempts }) {
  return attempts.map((attempt) => {
    const { attemptId, address, sentAt, endedAt, status, error, events } =
      attempt;
    const versions = [...new Set(events.map(({ version }) => version))];
    const range = events.length === 0
      ? "no event"
      : `events ${events[0].id}-${events.at(-1).id} of version ${versions}`;
    return `${attemptId} at ${address} sent ${sentAt} ended ${endedAt} ` +
      `status ${status ?? "none"} ${error ?? "complete"}: ${range}`;
  }).join("; then ");
}

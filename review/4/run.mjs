// One model runner in trouble begins one answer properly and goes on with bytes
// that are no event, without end. Bookings at the same daemon must still get
// their final answers.
import { sendSteadily } from "../common-2/client.mjs";
import { EXIT, HAS_TROUBLE, runCase } from "../common-2/case.mjs";
import {
  answerHeaders,
  createManifest,
  createStream,
  now,
  Runner,
  sleep,
} from "../common-2/platform.mjs";

const DAEMONS = 3;
const MODEL_RUNNERS = 4;
const PLAIN_RUNNERS = 3;
const BOOKING_TIMEOUT_MILLISECONDS = 800;
const BOOKING_DEADLINE_MILLISECONDS = 1_500;
/** Bookings a second at each daemon. */
const BOOKINGS_PER_SECOND = 2.5;
/** Streams a second at each daemon. */
const STREAMS_PER_SECOND = 1.5;
const STREAM_OBJECTIVE_MILLISECONDS = 1_500;
/** After this gap a client abandons a stream: four times the objective. */
const GAP_MILLISECONDS = 4 * STREAM_OBJECTIVE_MILLISECONDS;
/** How long the runner is in trouble, and how many of its answers it spoils. */
const TROUBLE_MILLISECONDS = 5_500;
const SPOILED_SHARE = 0.02;
const CALM_MILLISECONDS = 4_000;
const AFTER_MILLISECONDS = 14_000;
/** Sent in each interval; below the 1,000 Mbit/s of a link. */
const ENDLESS_PIECE = Buffer.alloc(64 * 1024, "x");
const ENDLESS_INTERVAL_MILLISECONDS = 1;
/** RULES.md, CONFIG. */
const LATE_MILLISECONDS = 500;
const MINIMUM_LATE = 8;
const LATE_SHARE = 0.25;

await runCase(new URL("record.txt", import.meta.url), play);

async function play(site, record) {
  const trouble = { isOn: false, runner: undefined, answers: 0 };
  const stream = createStream({ events: 20, gap: 50 });
  const run = (call) => {
    // The runner in trouble is the one that gets the next request.
    if (trouble.isOn) trouble.runner ??= call.runner;
    const isSpoiled = trouble.isOn && call.runner === trouble.runner &&
      trouble.answers++ % Math.round(1 / SPOILED_SHARE) === 0;
    if (!isSpoiled) return stream(call);
    record.add(`${call.runner.id} answers ${call.attemptId} without end`);
    sendWithoutEnd(call, record);
  };
  for (let index = 1; index <= MODEL_RUNNERS; index++) {
    await site.addRunner(
      new Runner({
        id: `model-${index}`,
        service: "model",
        slots: 64,
        run,
      }),
    );
  }
  for (let index = 1; index <= PLAIN_RUNNERS; index++) {
    await site.addRunner(
      new Runner({ id: `plain-${index}`, service: "plain", slots: 6 }),
    );
  }
  site.store.put(
    "op",
    "config",
    createManifest({
      version: 1,
      routes: [
        {
          name: "plan",
          prefix: "/plan/",
          kind: "streaming",
          service: "model",
          sloMs: STREAM_OBJECTIVE_MILLISECONDS,
          targetGapMs: 300,
        },
        {
          name: "book",
          prefix: "/book/",
          kind: "non_idempotent",
          service: "plain",
          timeoutMs: BOOKING_TIMEOUT_MILLISECONDS,
          sloMs: 150,
        },
      ],
      services: [{ name: "model", engine: { slots: 64 } }, { name: "plain" }],
    }),
  );
  if (!await site.startDaemons(DAEMONS)) return EXIT.notRun;
  await sleep(1_000);

  const bookings = [];
  const streams = [];
  const stops = site.daemons.flatMap(({ listen: { front } }) => [
    sendSteadily(BOOKINGS_PER_SECOND, front, bookings, sendBooking),
    sendSteadily(STREAMS_PER_SECOND, front, streams, sendStream),
  ]);
  await sleep(CALM_MILLISECONDS);
  trouble.isOn = HAS_TROUBLE;
  record.add("trouble begins");
  await sleep(TROUBLE_MILLISECONDS);
  trouble.isOn = false;
  record.add("trouble ends");
  await sleep(AFTER_MILLISECONDS);
  for (const stop of stops) stop();
  await Promise.all(bookings);
  const ended = await Promise.all(streams);
  return judge(site, record, await Promise.all(bookings), ended);
}

function judge(site, record, bookings, streams) {
  for (const attempt of [...bookings, ...streams]) {
    const { attemptId, path, sentAt, endedAt, status, error } = attempt;
    record.add(
      `${attemptId} ${path} to ${attempt.address} sent ${sentAt} ended ` +
        `${endedAt} status ${status ?? "none"} ${error ?? ""}`,
    );
  }
  record.addRuns(site.runners);
  const took = ({ sentAt, endedAt }) => endedAt - sentAt;
  const long = bookings.filter((attempt) =>
    took(attempt) > BOOKING_TIMEOUT_MILLISECONDS
  );
  const late = long.filter((attempt) =>
    took(attempt) > BOOKING_TIMEOUT_MILLISECONDS + LATE_MILLISECONDS
  );
  record.tell(
    `${bookings.length} bookings; ${long.length} lasted longer than their ` +
      `route's timeout; ${late.length} had no final answer ` +
      `${LATE_MILLISECONDS} ms after it`,
  );
  const served = bookings.filter(({ status }) => status === 200).length;
  record.tell(`${served} bookings were served`);
  if (bookings.length < 100) return EXIT.notRun;
  const isBroken = late.length >= MINIMUM_LATE &&
    late.length > long.length * LATE_SHARE;
  return isBroken ? EXIT.broken : EXIT.held;
}

/** Sends a proper head, and then bytes that are no event until it is closed. */
function sendWithoutEnd(call, record) {
  const { response } = call;
  response.writeHead(200, {
    ...answerHeaders(call),
    "Content-Type": "text/event-stream",
  });
  let sent = 0;
  let isFull = false;
  const timer = setInterval(() => {
    if (isFull) return;
    sent += ENDLESS_PIECE.length;
    isFull = !response.write(ENDLESS_PIECE);
  }, ENDLESS_INTERVAL_MILLISECONDS);
  response.on("drain", () => {
    isFull = false;
  });
  response.on("close", () => {
    clearInterval(timer);
    record.add(`the answer to ${call.attemptId} was closed, ${sent} bytes`);
  });
}

function sendBooking(channel) {
  return channel.send({
    path: "/book/1",
    method: "POST",
    body: "a booking",
    deadline: BOOKING_DEADLINE_MILLISECONDS,
  });
}

/** Abandons the stream after a gap, as clients do. */
async function sendStream(channel) {
  let lastAt = now();
  const sent = channel.send({
    path: "/plan/1",
    method: "POST",
    body: "a plan",
    onData: () => {
      lastAt = now();
    },
  });
  const timer = setInterval(() => {
    if (now() - lastAt > GAP_MILLISECONDS) channel.close();
  }, 100);
  const attempt = await sent;
  clearInterval(timer);
  return attempt;
}

// A release replaces the last runners of an old software version. While they
// drain, all daemons are killed at once. Clients take their streams up again;
// a stream must not go on at another version than the one that began it.
import { EXIT, HAS_TROUBLE, runCase } from "../common-2/case.mjs";
import { describeStream, followStream } from "../common-2/streams.mjs";
import {
  createManifest,
  createStream,
  Runner,
  sleep,
} from "../common-2/platform.mjs";

const DAEMONS = 3;
const STREAMS = 16;
const DEADLINE_MILLISECONDS = 15_000;
const EVENTS = 55;
const GAP_MILLISECONDS = 200;
/** Time between two steps of the release. */
const RELEASE_GAP_MILLISECONDS = 1_000;
/** A runner leaves this long after it reported that it drains. */
const LINGER_MILLISECONDS = 8_000;
const RESTART_MILLISECONDS = 300;
/** Pauses before a client takes its stream up again. */
const WAITS = [400, 800, 1_600];
/** RULES.md and the news pages, ORDER: more than two streams. */
const ALLOWED_STREAMS = 2;

await runCase(new URL("record.txt", import.meta.url), play);

async function play(site, record) {
  const run = createStream({ events: EVENTS, gap: GAP_MILLISECONDS });
  const addRunner = async (id, version) => {
    record.add(`${id} of version ${version} starts`);
    return await site.addRunner(
      new Runner({ id, version, service: "model", slots: 64, run }),
    );
  };
  const old = [await addRunner("a-1", "v1"), await addRunner("a-2", "v1")];
  await addRunner("b-1", "v2");
  await addRunner("b-2", "v2");
  site.store.put(
    "op",
    "config",
    createManifest({
      version: 1,
      routes: [{
        name: "review",
        prefix: "/review/",
        kind: "streaming",
        service: "model",
        attempts: 2,
        resumable: true,
        targetGapMs: 300,
      }],
      services: [{ name: "model", engine: { slots: 64 } }],
    }),
  );
  if (!await site.startDaemons(DAEMONS)) return EXIT.notRun;
  await sleep(1_500);

  const fronts = site.daemons.map(({ listen }) => listen.front);
  let next = 0;
  const streams = Array.from({ length: STREAMS }, (_, index) =>
    followStream({
      path: `/review/${index}`,
      deadline: DEADLINE_MILLISECONDS,
      waits: WAITS,
      nextAddress: () => fronts[next++ % fronts.length],
    }));
  await sleep(1_000);
  for (const [index, runner] of old.entries()) {
    await addRunner(`b-${index + 3}`, "v2");
    await sleep(RELEASE_GAP_MILLISECONDS / 2);
    record.add(`${runner.id} drains`);
    runner.drain();
    setTimeout(() => {
      record.add(`${runner.id} leaves`);
      runner.leave();
    }, LINGER_MILLISECONDS);
    await sleep(RELEASE_GAP_MILLISECONDS / 2);
  }
  if (HAS_TROUBLE) {
    for (const daemon of site.daemons) daemon.signal("SIGKILL");
    await Promise.all(site.daemons.map(({ exited }) => exited));
    record.add("all daemons were killed");
    await sleep(RESTART_MILLISECONDS);
    for (const daemon of site.daemons) daemon.start();
    record.add("all daemons start again");
  }
  return judge(site, record, await Promise.all(streams));
}

function judge(site, record, streams) {
  for (const stream of streams) record.add(describeStream(stream));
  record.addRuns(site.runners);
  const began = streams.filter(({ events }) => events[0]?.version === "v1");
  const mixed = streams.filter(({ events }) =>
    new Set(events.map(({ version }) => version)).size > 1
  );
  record.tell(
    `${streams.length} streams, ${began.length} begun at version v1; ` +
      `${mixed.length} hold events of two versions`,
  );
  if (began.length <= ALLOWED_STREAMS) return EXIT.notRun;
  return mixed.length > ALLOWED_STREAMS ? EXIT.broken : EXIT.held;
}

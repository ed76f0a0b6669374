import type { BootAnswer, BootAnswers } from "../../revisions/mod.ts";
import { test } from "node:test";
import { expect } from "earl";
import fc from "fast-check";
import { SeededRandom } from "kelpspar-shared";
import {
  chooseBootRevision,
  RevisionTracker,
  selectBootPeers,
} from "../../revisions/mod.ts";

const HOLD = 10;

// Guards against a configuration that was in force and no longer is: offers and
// announcements of revisions overtake one another, and the last one wins
// instead of the highest.
test("a daemon never lowers its revision nor serves one below an announced revision", () => {
  const eventArbitrary = fc.record({
    type: fc.constantFrom("offer", "proof"),
    revision: fc.integer({ min: 1, max: 9 }),
    isOther: fc.constantFrom(false, false, false, true),
    wait: fc.constantFrom(0, 1, 4, HOLD),
  });
  const events = fc.array(eventArbitrary, { minLength: 5, maxLength: 30 });
  fc.assert(
    fc.property(events, (sequence) => {
      const tracker = new RevisionTracker<string>({ holdMilliseconds: HOLD });
      let now = 0;
      let current = 0;
      let announced = 0;
      let waitsSince = 0;
      const accepted = new Map<number, string>();
      for (const { type, revision, isOther, wait } of sequence) {
        now += wait;
        const changeId = isOther ? `other${revision}` : `change${revision}`;
        const wasMissing = announced > current;
        if (type === "offer") {
          const offer = { revision, changeId, content: changeId } as const;
          const told = tracker.offer({ ...offer, source: "peer" }, now);
          const reason = revision < current
            ? "lower"
            : accepted.get(revision) === changeId
            ? "known"
            : "diverged";
          expect(told).toEqual(
            revision > current
              ? { type: "accepted" }
              : { type: "ignored", reason },
          );
          if (revision > current) {
            current = revision;
            accepted.set(revision, changeId);
            waitsSince = now;
          }
        } else {
          tracker.recordAnnouncement({ revision, announcer: changeId }, now);
          announced = Math.max(announced, revision);
          if (!wasMissing) waitsSince = now;
        }
        const isMissing = announced > current;
        expect(tracker.current?.revision ?? 0).toEqual(current);
        expect(tracker.missing?.revision).toEqual(
          isMissing ? announced : undefined,
        );
        expect(tracker.servingMode(now)).toEqual(
          current === 0
            ? "refuse"
            : !isMissing
            ? "serve"
            : now - waitsSince < HOLD
            ? "hold"
            : "refuse",
        );
      }
    }),
    { numRuns: 2_000, seed: 31 },
  );
});

const answerArbitrary: fc.Arbitrary<BootAnswer | undefined> = fc.oneof(
  fc.record({
    type: fc.constant("revision" as const),
    revision: fc.integer({ min: 1, max: 5 }),
    changeId: fc.constant("c"),
    highestKnown: fc.integer({ min: 1, max: 6 }),
  }),
  fc.constantFrom(
    { type: "empty" } as const,
    { type: "failed" } as const,
    undefined,
  ),
);

// Guards against serving an old configuration after a boot during a store
// outage: one peer was partitioned, others were not, and the first answer wins.
test("a booting daemon waits for enough answers and starts from the highest revision", () => {
  const surveyArbitrary = fc.record({
    table: answerArbitrary,
    peers: fc.array(answerArbitrary, { maxLength: 5 }),
    elapsedMilliseconds: fc.constantFrom(0, 1_499, 1_500),
  });
  fc.assert(
    fc.property(surveyArbitrary, ({ table, peers, elapsedMilliseconds }) => {
      const named = peers.map((answer, at) => [`peer${at}`, answer] as const);
      const bootAnswers: BootAnswers = {
        table,
        peers: new Map(named),
        elapsedMilliseconds,
      };
      const revisionAnswers = [table, ...peers].filter((one) =>
        one?.type === "revision"
      );
      const highest = Math.max(
        0,
        ...revisionAnswers.map(({ revision }) => revision),
      );
      const hasTableAnswer = table !== undefined && table.type !== "failed";
      const isEnough = hasTableAnswer ||
        peers.filter((one) => one?.type === "revision").length >= 3;
      const isOver = elapsedMilliseconds >= 1_500 ||
        (table !== undefined && !peers.includes(undefined));
      const expected = !isEnough && !isOver
        ? "wait"
        : highest > 0
        ? "start"
        : hasTableAnswer
        ? "start_empty"
        : "ask_again";
      const choice = chooseBootRevision(bootAnswers);
      expect(choice.type).toEqual(expected);
      if (choice.type !== "start") return;
      const from = choice.from === "table"
        ? table
        : bootAnswers.peers.get(choice.from);
      expect(from?.type === "revision" && from.revision).toEqual(highest);
      expect(choice.revision).toEqual(highest);
      expect(choice.highestKnown).toEqual(
        Math.max(
          ...revisionAnswers.map((one) =>
            Math.max(one.revision, one.highestKnown ?? 0)
          ),
        ),
      );
    }),
    { numRuns: 5_000, seed: 32 },
  );
});

test("peers to query come from as many zones as possible", () => {
  const peers = ["a", "a", "a", "a", "b", "c"].map((availabilityZone, at) => (
    { name: `${availabilityZone}${at}`, availabilityZone }
  ));
  for (let seed = 0; seed < 50; seed++) {
    const random = new SeededRandom(seed);
    const zones = selectBootPeers(peers, { random }).map((name) => name[0]);
    expect(zones.sort()).toEqual(["a", "b", "c"]);
  }
});

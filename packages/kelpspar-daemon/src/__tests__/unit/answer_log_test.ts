import { expect } from "earl";
import fc from "fast-check";
import { test } from "node:test";
import { extendChecksum, formatChecksum } from "kelpspar-shared";
import { AnswerLog } from "../../requests/answer_log.ts";

const RUNS = { seed: 1, numRuns: 300 };
const SHORT = { maxLength: 5 };

test("a reader from any offset gets exactly the rest of the text", () => {
  const pieces = fc.array(fc.string(SHORT), { maxLength: 12 });
  fc.assert(
    fc.property(pieces, fc.nat(80), (texts, offset) => {
      const log = new AnswerLog();
      for (const text of texts) log.append(text);
      const whole = texts.join("");
      const chunks = log.readFrom(offset);
      expect(chunks.map(({ text }) => text).join(""))
        .toEqual(whole.slice(offset));
      let next = offset;
      for (const chunk of chunks) {
        expect(chunk.offset).toEqual(next);
        expect(chunk.text === "").toEqual(false);
        next += chunk.text.length;
      }
      expect([log.length, log.text()]).toEqual([whole.length, whole]);
      // Reading truncates a copy; the log itself is unchanged.
      expect(log.readFrom(0).map(({ text }) => text).join("")).toEqual(whole);
    }),
    RUNS,
  );
});

test("the checksum is that of the whole text, wherever its pieces are split", () => {
  // Failure: a caller treats a complete answer as corrupt and retries. An
  // engine's stream or a resume splits a surrogate pair. Half a pair has no
  // UTF-8 encoding, so each half was summed as a different character.
  const split = fc.tuple(fc.string({ unit: "grapheme" }), fc.nat(20));
  fc.assert(
    fc.property(split, ([start, at]) => {
      const whole = `${start}\u{1f69c}`;
      const log = new AnswerLog();
      log.append(whole.slice(0, at));
      log.append(whole.slice(at));
      expect(log.checksum).toEqual(formatChecksum(extendChecksum(0, whole)));
    }),
    { ...RUNS, examples: [[["", 1]]] },
  );
});

test("only the first final record counts, and nothing follows it", () => {
  const log = new AnswerLog();
  let notifications = 0;
  const stop = log.registerListener(() => notifications++);
  const end = {
    type: "end",
    requestId: "r",
    length: 4,
    checksum: "",
    cost: [],
    elapsedMilliseconds: 0,
  } as const;
  log.append("lime");
  log.finish(end);
  log.finish({ ...end, requestId: "other" });
  log.append("late");
  expect([log.text(), log.final, notifications]).toEqual(["lime", end, 2]);
  stop();
  expect(log.readers).toEqual(0);
});

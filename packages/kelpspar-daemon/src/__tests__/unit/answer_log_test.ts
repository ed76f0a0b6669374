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
      // Reading cuts a copy; the log itself stays whole.
      expect(log.readFrom(0).map(({ text }) => text).join("")).toEqual(whole);
    }),
    RUNS,
  );
});

test("the checksum is that of the whole text, wherever its pieces part", () => {
  // Symptom: a caller takes a whole answer for a damaged one and asks again.
  // Sequence: an engine's stream, or a resume, parts a pair of surrogates.
  // Cause: half a pair has no UTF-8 form, so each half is summed as another
  // character.
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
  let heard = 0;
  const stop = log.registerListener(() => heard++);
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
  expect([log.text(), log.final, heard]).toEqual(["lime", end, 2]);
  stop();
  expect(log.readers).toEqual(0);
});

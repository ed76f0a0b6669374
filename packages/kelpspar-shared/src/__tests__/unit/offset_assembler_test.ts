import { expect } from "earl";
import fc from "fast-check";
import { test } from "node:test";
import { OffsetAssembler } from "../../mod.ts";

const LONGEST = 40;

/** Pieces of one text, in any order, repeated, overlapping, some missing. */
const cases = fc.string({ minLength: 1, maxLength: LONGEST }).chain((text) =>
  fc.record({
    text: fc.constant(text),
    startOffset: fc.nat(text.length),
    pieces: fc.array(
      fc.record({ offset: fc.nat(text.length), length: fc.nat(12) }).map(
        ({ offset, length }) => ({
          offset,
          text: text.slice(offset, offset + length),
        }),
      ),
      { maxLength: 30 },
    ),
  })
);

test("the text grows by what is whole, as a naive version says", () => {
  fc.assert(
    fc.property(cases, ({ text, startOffset, pieces }) => {
      const assembler = new OffsetAssembler({ startOffset });
      const known = new Array<boolean>(text.length).fill(false);
      known.fill(true, 0, startOffset);
      let farthest = startOffset;
      let whole = text.slice(0, startOffset);
      for (const piece of pieces) {
        whole += assembler.push(piece);
        const end = piece.offset + piece.text.length;
        known.fill(true, piece.offset, end);
        farthest = Math.max(farthest, end);
        const firstGap = known.indexOf(false);
        const length = firstGap < 0 ? text.length : firstGap;
        expect([assembler.length, whole]).toEqual([
          length,
          text.slice(0, length),
        ]);
        if (farthest > length) expect(assembler.hasGap).toEqual(true);
      }
    }),
    { seed: 1, numRuns: 1_000 },
  );
});

test("a gap that closed is none any more", () => {
  const assembler = new OffsetAssembler();
  expect(assembler.push({ offset: 2, text: "me" })).toEqual("");
  expect(assembler.hasGap).toEqual(true);
  expect(assembler.push({ offset: 0, text: "li" })).toEqual("lime");
  expect([assembler.hasGap, assembler.length]).toEqual([false, 4]);
});

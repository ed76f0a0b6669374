import { expect } from "earl";
import fc from "fast-check";
import { test } from "node:test";
import { OffsetAssembler } from "../../mod.ts";

const MAXIMUM_TEXT_LENGTH = 40;

/** Pieces of one text: in any order, repeated, overlapping, some missing. */
const cases = fc.string({ minLength: 1, maxLength: MAXIMUM_TEXT_LENGTH }).chain(
  (text) =>
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
    }),
);

test("the assembled text matches a naive implementation after every piece", () => {
  fc.assert(
    fc.property(cases, ({ text, startOffset, pieces }) => {
      const assembler = new OffsetAssembler({ startOffset });
      const covered = new Array<boolean>(text.length).fill(false);
      covered.fill(true, 0, startOffset);
      let farthest = startOffset;
      let assembled = text.slice(0, startOffset);
      for (const piece of pieces) {
        assembled += assembler.push(piece);
        const end = piece.offset + piece.text.length;
        covered.fill(true, piece.offset, end);
        farthest = Math.max(farthest, end);
        const firstGap = covered.indexOf(false);
        const length = firstGap < 0 ? text.length : firstGap;
        expect([assembler.length, assembled]).toEqual([
          length,
          text.slice(0, length),
        ]);
        if (farthest > length) expect(assembler.hasGap).toEqual(true);
      }
    }),
    { seed: 1, numRuns: 1_000 },
  );
});

test("hasGap is false once the gap is closed", () => {
  const assembler = new OffsetAssembler();
  expect(assembler.push({ offset: 2, text: "me" })).toEqual("");
  expect(assembler.hasGap).toEqual(true);
  expect(assembler.push({ offset: 0, text: "li" })).toEqual("lime");
  expect([assembler.hasGap, assembler.length]).toEqual([false, 4]);
});

import type { ChunkRecord, EndRecord } from "kelpspar-shared";
import { test } from "node:test";
import { expect } from "earl";
import fc from "fast-check";
import { extendChecksum, formatChecksum } from "kelpspar-shared";
import { AnswerAssembler } from "../../mod.ts";

function endOf(text: string): EndRecord {
  return {
    type: "end",
    requestId: "r",
    length: text.length,
    checksum: formatChecksum(extendChecksum(0, text)),
    cost: [],
    elapsedMilliseconds: 1,
  };
}

/** Reference implementation: the first chunk sets each code unit. */
function referenceText(chunks: readonly ChunkRecord[]): string {
  const units: string[] = [];
  for (const { offset, text } of chunks) {
    for (let index = 0; index < text.length; index++) {
      units[offset + index] ??= text.charAt(index);
    }
  }
  let whole = "";
  for (let index = 0; units[index] !== undefined; index++) {
    whole += units[index];
  }
  return whole;
}

/** Chunks of `text`: overlapping, duplicated, shuffled, some missing. */
function chunksOf(text: string): fc.Arbitrary<ChunkRecord[]> {
  const chunk = fc.tuple(fc.nat(text.length), fc.nat(8)).map(
    ([offset, length]): ChunkRecord => ({
      type: "chunk",
      offset,
      text: text.slice(offset, offset + length),
    }),
  );
  return fc.array(chunk, { maxLength: 24 });
}

const cases = fc.string({ unit: "grapheme", maxLength: 30 }).chain((text) =>
  fc.record({
    text: fc.constant(text),
    chunks: chunksOf(text),
    endAt: fc.nat(24),
  })
);

test("chunks in any order give the same text as the reference implementation", () => {
  fc.assert(
    fc.property(cases, ({ text, chunks, endAt }) => {
      const assembler = new AnswerAssembler();
      let pieces = "";
      for (const [index, chunk] of chunks.entries()) {
        if (index === endAt) assembler.addEnd(endOf(text));
        pieces += assembler.addChunk(chunk);
        expect(pieces).toEqual(referenceText(chunks.slice(0, index + 1)));
      }
      assembler.addEnd(endOf(text));
      expect(assembler.text).toEqual(pieces);
      expect(assembler.state).toEqual(
        pieces === text ? "whole" : "incomplete",
      );
    }),
    { seed: 5, numRuns: 2_000 },
  );
});

test("a truncated or corrupt answer is never whole", () => {
  // Guards against returning a truncated answer as a whole one. A daemon dies
  // while streaming and its host closes the connection cleanly. The failure:
  // the end of the stream is treated as the end of the answer.
  fc.assert(
    fc.property(cases, fc.string({ maxLength: 30 }), ({ text }, other) => {
      const cut = new AnswerAssembler();
      cut.addChunk({ type: "chunk", offset: 0, text });
      expect(cut.state).toEqual("incomplete");
      cut.addEnd(endOf(other));
      expect(cut.state === "whole").toEqual(text === other);
    }),
    { seed: 6, numRuns: 1_000 },
  );
});

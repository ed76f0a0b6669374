import { test } from "node:test";
import { isDeepStrictEqual } from "node:util";
import { expect } from "earl";
import fc from "fast-check";
import { diffConfigurations, mergeOverlay } from "../../mod.ts";

/** Arbitrary JSON with many lists of elements that have ids. */
const json = fc.letrec((tie) => ({
  node: fc.oneof(
    { depthSize: "small", withCrossShrink: true },
    fc.constantFrom<unknown>(0, 1, "a", true),
    fc.dictionary(fc.constantFrom("a", "b", "__proto__"), tie("node"), {
      noNullPrototype: true,
    }),
    fc.array(tie("node"), { maxLength: 3 }),
    fc.uniqueArray(
      fc.record({ id: fc.constantFrom("x", "y", "z"), part: tie("node") }),
      { selector: (element) => element.id, maxLength: 3 },
    ),
  ),
})).node;

test("objects merge as in the examples of RFC 7396", () => {
  const examples: [unknown, unknown, unknown][] = [
    [{ a: "b" }, { a: "c" }, { a: "c" }],
    [{ a: "b" }, { b: "c" }, { a: "b", b: "c" }],
    [{ a: "b" }, { a: null }, {}],
    [{ a: "b", b: "c" }, { a: null }, { b: "c" }],
    [{ a: ["b"] }, { a: "c" }, { a: "c" }],
    [{ a: "c" }, { a: ["b"] }, { a: ["b"] }],
    [{ a: { b: "c" } }, { a: { b: "d", c: null } }, { a: { b: "d" } }],
    [{ a: [{ b: "c" }] }, { a: [1] }, { a: [1] }],
    [["a", "b"], ["c", "d"], ["c", "d"]],
    [{ a: "b" }, ["c"], ["c"]],
    [{ a: "foo" }, "bar", "bar"],
    [{ e: null }, { a: 1 }, { e: null, a: 1 }],
    [[1, 2], { a: "b", c: null }, { a: "b" }],
    [{}, { a: { bb: { ccc: null } } }, { a: { bb: {} } }],
  ];
  for (const [base, overlay, expected] of examples) {
    expect(mergeOverlay(base, overlay)).toEqual(expected);
  }
});

test("lists merge by id or account, from an overlay list or object", () => {
  const base = {
    list: [{ id: "x", n: 1 }, { id: "y", n: 2 }],
    by: [{ account: "p", n: 1 }],
  };
  const overlay = {
    list: [{ id: "y", n: 3 }, { id: "z", n: 4, none: null }],
    by: { p: null, q: { n: 5 } },
  };
  expect(mergeOverlay(base, overlay)).toEqual({
    list: [{ id: "x", n: 1 }, { id: "y", n: 3 }, { id: "z", n: 4 }],
    by: [{ account: "q", n: 5 }],
  });
  expect(mergeOverlay(base, { list: { x: null } })).toEqual({
    ...base,
    list: [{ id: "y", n: 2 }],
  });
});

test("merging an overlay is idempotent and does not modify its inputs", () => {
  fc.assert(
    fc.property(json, json, (base, overlay) => {
      const inputs = JSON.stringify([base, overlay]);
      const once = mergeOverlay(base, overlay);
      expect(mergeOverlay(once, overlay)).toEqual(once);
      expect(JSON.stringify([base, overlay])).toEqual(inputs);
    }),
    { seed: 3, numRuns: 1_000 },
  );
});

test("there are no changes if and only if two values are equal", () => {
  fc.assert(
    fc.property(json, json, (before, after) => {
      const equal = isDeepStrictEqual(before, after);
      expect(diffConfigurations(before, after).length === 0).toEqual(equal);
      expect(diffConfigurations(before, JSON.parse(JSON.stringify(before))))
        .toEqual([]);
    }),
    { seed: 4, numRuns: 2_000 },
  );
});

test("paths of changes contain ids, and reordered stages are a change", () => {
  const before = { stages: [{ id: "a", n: 1 }, { id: "b" }], gone: 1 };
  const after = { stages: [{ id: "b" }, { id: "a", n: 2 }, { id: "c" }] };
  expect(diffConfigurations(before, after)).toEqual([
    {
      path: "stages",
      kind: "reordered",
      before: ["a", "b"],
      after: ["b", "a", "c"],
    },
    { path: "stages[a].n", kind: "changed", before: 1, after: 2 },
    { path: "stages[c]", kind: "added", after: { id: "c" } },
    { path: "gone", kind: "removed", before: 1 },
  ]);
});

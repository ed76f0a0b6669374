import { test } from "node:test";
import { isDeepStrictEqual } from "node:util";
import { expect } from "earl";
import fc from "fast-check";
import { differConfigurations, layOverlay } from "../../mod.ts";

/** JSON in which lists of elements with ids are common. */
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

test("objects merge as the examples of RFC 7396 say", () => {
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
    expect(layOverlay(base, overlay)).toEqual(expected);
  }
});

test("lists merge by id or account, in a list's form or an object's", () => {
  const base = {
    list: [{ id: "x", n: 1 }, { id: "y", n: 2 }],
    by: [{ account: "p", n: 1 }],
  };
  const overlay = {
    list: [{ id: "y", n: 3 }, { id: "z", n: 4, none: null }],
    by: { p: null, q: { n: 5 } },
  };
  expect(layOverlay(base, overlay)).toEqual({
    list: [{ id: "x", n: 1 }, { id: "y", n: 3 }, { id: "z", n: 4 }],
    by: [{ account: "q", n: 5 }],
  });
  expect(layOverlay(base, { list: { x: null } })).toEqual({
    ...base,
    list: [{ id: "y", n: 2 }],
  });
});

test("laying an overlay twice is laying it once, and changes no input", () => {
  fc.assert(
    fc.property(json, json, (base, overlay) => {
      const inputs = JSON.stringify([base, overlay]);
      const once = layOverlay(base, overlay);
      expect(layOverlay(once, overlay)).toEqual(once);
      expect(JSON.stringify([base, overlay])).toEqual(inputs);
    }),
    { seed: 3, numRuns: 1_000 },
  );
});

test("there are no changes when and only when two values are equal", () => {
  fc.assert(
    fc.property(json, json, (before, after) => {
      const equal = isDeepStrictEqual(before, after);
      expect(differConfigurations(before, after).length === 0).toEqual(equal);
      expect(differConfigurations(before, JSON.parse(JSON.stringify(before))))
        .toEqual([]);
    }),
    { seed: 4, numRuns: 2_000 },
  );
});

test("changes are named by id, and a new order of stages is a change", () => {
  const before = { stages: [{ id: "a", n: 1 }, { id: "b" }], gone: 1 };
  const after = { stages: [{ id: "b" }, { id: "a", n: 2 }, { id: "c" }] };
  expect(differConfigurations(before, after)).toEqual([
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

import type { TablePage, TableRow } from "../../tables/table_store.ts";
import { expect } from "earl";
import { test } from "node:test";
import { TableMirror } from "../../tables/table_mirror.ts";

function row(key: string, version: number, isRemoved = false): TableRow {
  return { key, version, text: `${key}${version}`, isRemoved };
}

function createMirror(): {
  readonly mirror: TableMirror;
  readonly taken: string[];
} {
  const taken: string[] = [];
  const keysOf = (page: TablePage): string =>
    page.rows.map(({ key }) => key).join("");
  const mirror = new TableMirror("t", {
    takeTable: (page) => taken.push(`whole ${keysOf(page)}`),
    takeChanges: (page) => taken.push(`changes ${keysOf(page)}`),
  });
  return { mirror, taken };
}

test("others are told what they lack, removals too", () => {
  const { mirror } = createMirror();
  expect(mirror.since(null)).toEqual(undefined);
  mirror.takeTable({ rows: [row("a", 1), row("b", 2)], version: 3 });
  mirror.takeChanges({ rows: [row("a", 4, true), row("c", 5)], version: 6 });
  expect(mirror.since(3)).toEqual({
    table: "t",
    isWhole: false,
    after: 3,
    version: 6,
    rows: [row("a", 4, true), row("c", 5)],
  });
  expect(mirror.since(6)?.rows).toEqual([]);
  expect(mirror.since(null)?.rows).toEqual([row("b", 2), row("c", 5)]);
  // What changed before the table was read isn't known one by one.
  expect(mirror.since(2)?.isWhole).toEqual(true);
});

test("what others tell is merged by version", () => {
  const { mirror, taken } = createMirror();
  const changes = (after: number, version: number) => ({
    table: "t",
    isWhole: false,
    after,
    version,
    rows: [row("a", version)],
  });
  expect(mirror.merge(changes(1, 2))).toEqual("skips_versions");
  expect(mirror.merge({ ...changes(0, 2), isWhole: true })).toEqual("taken");
  expect(mirror.merge(changes(2, 4))).toEqual("taken");
  expect(mirror.merge(changes(2, 3))).toEqual("known");
  expect(mirror.merge(changes(5, 6))).toEqual("skips_versions");
  expect(taken).toEqual(["whole a", "changes a"]);
  expect(mirror.version).toEqual(4);
});

test("who lacks removals that are kept no more is told the whole table", () => {
  const { mirror } = createMirror();
  mirror.takeTable({ rows: [], version: 1 });
  for (let version = 2; version < 700; version++) {
    mirror.takeChanges({ rows: [row(`k${version}`, version, true)], version });
  }
  expect(mirror.since(1)?.isWhole).toEqual(true);
  expect(mirror.since(690)?.isWhole).toEqual(false);
});

test("a row that says nothing new is not passed on", () => {
  // Load: 120 endpoints write their rows every 1.2 s; passed on, that is
  // 15 KB/s for each daemon that follows.
  let changes = 0;
  const pages: number[] = [];
  const mirror = new TableMirror("t", {
    takeTable: () => {},
    takeChanges: (page) => pages.push(page.rows.length),
    isSameRow: (known, one) => known.key === one.key,
    changed: () => changes++,
  });
  mirror.takeTable({ rows: [row("a", 1)], version: 1 });
  mirror.takeChanges({ rows: [row("a", 2)], version: 2 });
  expect([changes, pages, mirror.since(1)?.rows]).toEqual([1, [1], []]);
  mirror.takeChanges({ rows: [row("a", 3, true)], version: 3 });
  expect([changes, mirror.since(2)?.rows]).toEqual([2, [row("a", 3, true)]]);
  // One that is back after its removal is news.
  mirror.takeChanges({ rows: [row("a", 4)], version: 4 });
  expect([changes, mirror.since(3)?.rows]).toEqual([3, [row("a", 4)]]);
});

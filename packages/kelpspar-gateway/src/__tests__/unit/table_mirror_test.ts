import type { TablePage, TableRow } from "../../tables/table_store.ts";
import { expect } from "earl";
import { test } from "node:test";
import { TableMirror } from "../../tables/table_mirror.ts";

function row(key: string, version: number, isRemoved = false): TableRow {
  return { key, version, text: `${key}${version}`, isRemoved };
}

function createMirror(): {
  readonly mirror: TableMirror;
  readonly received: string[];
} {
  const received: string[] = [];
  const keysOf = (page: TablePage): string =>
    page.rows.map(({ key }) => key).join("");
  const mirror = new TableMirror("t", {
    applyTable: (page) => received.push(`whole ${keysOf(page)}`),
    applyChanges: (page) => received.push(`changes ${keysOf(page)}`),
  });
  return { mirror, received };
}

test("followers get missing changes, including removals", () => {
  const { mirror } = createMirror();
  expect(mirror.changesSince(null)).toEqual(undefined);
  mirror.applyTable({ rows: [row("a", 1), row("b", 2)], version: 3 });
  mirror.applyChanges({ rows: [row("a", 4, true), row("c", 5)], version: 6 });
  expect(mirror.changesSince(3)).toEqual({
    table: "t",
    isWhole: false,
    after: 3,
    version: 6,
    rows: [row("a", 4, true), row("c", 5)],
  });
  expect(mirror.changesSince(6)?.rows).toEqual([]);
  expect(mirror.changesSince(null)?.rows).toEqual([row("b", 2), row("c", 5)]);
  // Single changes from before the table was read are unknown.
  expect(mirror.changesSince(2)?.isWhole).toEqual(true);
});

test("relayed changes are merged by version", () => {
  const { mirror, received } = createMirror();
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
  expect(received).toEqual(["whole a", "changes a"]);
  expect(mirror.version).toEqual(4);
});

test("a follower that misses dropped removals gets the whole table", () => {
  const { mirror } = createMirror();
  mirror.applyTable({ rows: [], version: 1 });
  for (let version = 2; version < 700; version++) {
    mirror.applyChanges({ rows: [row(`k${version}`, version, true)], version });
  }
  expect(mirror.changesSince(1)?.isWhole).toEqual(true);
  expect(mirror.changesSince(690)?.isWhole).toEqual(false);
});

test("a row without new information is not relayed", () => {
  // Guards against relaying heartbeats: 120 endpoints write their rows every
  // 1.2 s, which would be 15 KB/s for each follower.
  let changes = 0;
  const pages: number[] = [];
  const mirror = new TableMirror("t", {
    applyTable: () => {},
    applyChanges: (page) => pages.push(page.rows.length),
    isSameRow: (known, update) => known.key === update.key,
    changed: () => changes++,
  });
  mirror.applyTable({ rows: [row("a", 1)], version: 1 });
  mirror.applyChanges({ rows: [row("a", 2)], version: 2 });
  expect([changes, pages, mirror.changesSince(1)?.rows]).toEqual([1, [1], []]);
  mirror.applyChanges({ rows: [row("a", 3, true)], version: 3 });
  expect([changes, mirror.changesSince(2)?.rows]).toEqual([2, [
    row("a", 3, true),
  ]]);
  // A row that is added again after its removal is relayed.
  mirror.applyChanges({ rows: [row("a", 4)], version: 4 });
  expect([changes, mirror.changesSince(3)?.rows]).toEqual([3, [row("a", 4)]]);
});

// Guards against endpoints that a follower never lists again because it alone saw their rows removed.
test("a row that was removed and added again is relayed on", () => {
  const options = {
    applyTable: (): void => {},
    applyChanges: (): void => {},
    isSameRow: (): boolean => true,
  };
  const [reader, relaying] = [1, 2].map(() => new TableMirror("t", options));
  if (reader === undefined || relaying === undefined) return;
  for (const mirror of [reader, relaying]) {
    mirror.applyTable({ rows: [row("a", 1)], version: 1 });
  }
  reader.applyChanges({ rows: [row("a", 2, true), row("a", 3)], version: 3 });
  const relayed = reader.changesSince(1);
  expect(relayed?.rows).toEqual([row("a", 3)]);
  if (relayed !== undefined) relaying.merge(relayed);
  expect(relaying.changesSince(2)?.rows).toEqual([row("a", 3)]);
});

test("a whole table leaves out rows that the follower has", () => {
  // Guards against a configuration of 600 KB that each daemon receives twice
  // when all start together: those that read the tables before their reader did
  // were sent whole tables.
  const reader = createMirror().mirror;
  reader.applyTable({
    rows: [row("a", 1), row("b", 2), row("d", 7)],
    version: 8,
  });
  const follower = createMirror();
  follower.mirror.applyTable({
    rows: [row("a", 1), row("b", 2), row("c", 3)],
    version: 4,
  });
  const changes = reader.changesSince(4, { omitsUnchanged: true });
  expect(changes?.rows).toEqual([row("d", 7)]);
  expect(changes?.unchanged).toEqual(["a", "b"]);
  if (changes === undefined) throw new Error("No changes");
  expect(follower.mirror.merge(changes)).toEqual("taken");
  expect(follower.received.at(-1)).toEqual("whole abd");
  expect(follower.mirror.changesSince(null)?.rows)
    .toEqual(reader.changesSince(null)?.rows ?? []);
  // A row that it doesn't have after all makes it ask for the whole table.
  const other = createMirror().mirror;
  other.applyTable({ rows: [row("a", 1)], version: 4 });
  expect(other.merge(changes)).toEqual("skips_versions");
});

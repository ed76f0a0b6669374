import type { ResultCode } from "../../mod.ts";
import { expect } from "earl";
import { readFile } from "node:fs/promises";
import { test } from "node:test";
import { renderResultCodes, RESULT_CODES } from "../../mod.ts";

const PAGE = new URL(
  "../../../../../docs/RESULT_CODES.md",
  import.meta.url,
);

test("docs/RESULT_CODES.md contains the rendered table", async () => {
  const page = await readFile(PAGE, "utf8");
  expect(page.includes(renderResultCodes())).toEqual(true);
});

test("no two result codes share a number", () => {
  const numbers = Object.values<ResultCode>(RESULT_CODES).map((row) =>
    row.number
  );
  expect(new Set(numbers).size).toEqual(numbers.length);
});

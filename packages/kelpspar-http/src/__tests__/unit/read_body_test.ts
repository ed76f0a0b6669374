import { expect } from "earl";
import { PassThrough } from "node:stream";
import { test } from "node:test";
import { readBody } from "../../read_body.ts";
import { ReadBudget } from "../../read_budget.ts";

const BUDGET_BYTES = 100;

// Guards against bodies that are within their limits and fill the memory
// together.
test("the largest of the bodies that hold too much together is given up", async () => {
  const budget = new ReadBudget(BUDGET_BYTES);
  const bodies = [30, 50, 10].map((bytes) => {
    const body = new PassThrough();
    const read = readBody(body, { budget }).then(
      ({ length }) => length,
      ({ reason }) => reason,
    );
    body.write(Buffer.alloc(bytes));
    return { body, read };
  });
  await new Promise((resolve) => setImmediate(resolve));
  expect(budget.bytes).toEqual(90);
  bodies[2]?.body.end(Buffer.alloc(15));
  await bodies[2]?.read;
  bodies[0]?.body.end();
  const lengths = await Promise.all(bodies.map(({ read }) => read));
  expect(lengths).toEqual([30, "memory", 25]);
  expect(bodies[1]?.body.destroyed).toEqual(true);
  expect(budget.bytes).toEqual(0);
});

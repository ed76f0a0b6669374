import { expect } from "earl";
import { test } from "node:test";
import { findFreePorts } from "../../wire/free_ports.ts";

test("no two processes are given the same port", async () => {
  // Symptom: seed 525 of the soak ended when a caller got an answer without
  // addresses from a directory; one daemon of three hadn't started.
  // Sequence: a daemon was given ports and started; before it listened the
  // next one was given ports, one of the first one's among them, and served
  // another page there.
  // Cause: a port counts as free until its process listens.
  const found: number[] = [];
  for (let call = 0; call < 400; call++) found.push(...await findFreePorts(5));
  expect(new Set(found).size).toEqual(found.length);
});

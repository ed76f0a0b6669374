import { expect } from "earl";
import { test } from "node:test";
import { EndpointRegistry } from "../../endpoints/endpoint_registry.ts";
import { LimitedTrials } from "../../requests/limited_trials.ts";

// Guards against an endpoint that stays unused long after its limit ended.
test("a service with a limited endpoint is tried once a second", () => {
  const book = new EndpointRegistry();
  for (const id of ["i1", "i2"]) {
    book.upsert({
      id,
      bornAt: 1,
      service: "plain",
      address: "10.0.0.1:80",
      zone: "a",
      slots: 4,
      isDraining: false,
    }, 0);
  }
  let limited = "none";
  const trials = new LimitedTrials({
    book,
    gate: { limitOf: ({ entry }) => entry.id === limited ? 1 : undefined },
  });
  expect(trials.take("plain", 0)).toEqual(false);
  limited = "i2";
  const taken = [0, 10, 990, 1_000, 1_500, 2_000].filter((now) =>
    trials.take("plain", now)
  );
  expect(taken).toEqual([0, 1_000, 2_000]);
  expect(trials.take("other", 0)).toEqual(false);
});

import { expect } from "earl";
import { test } from "node:test";
import { EndpointRegistry } from "../../endpoints/endpoint_registry.ts";
import { LimitedEndpointProbes } from "../../requests/limited_endpoint_probes.ts";

// Guards against an endpoint that stays unused long after its limit ended.
test("a service with a limited endpoint is probed once a second", () => {
  const endpointRegistry = new EndpointRegistry();
  for (const id of ["i1", "i2"]) {
    endpointRegistry.upsert({
      id,
      bornAt: 1,
      service: "plain",
      address: "10.0.0.1:80",
      zone: "a",
      slots: 4,
      isDraining: false,
    }, 0);
  }
  let limitedId = "none";
  const probes = new LimitedEndpointProbes({
    endpointRegistry,
    rateLimiter: {
      limitOf: ({ entry }) => entry.id === limitedId ? 1 : undefined,
    },
  });
  expect(probes.tryStartProbe("plain", 0)).toEqual(false);
  limitedId = "i2";
  const probeTimes = [0, 10, 990, 1_000, 1_500, 2_000].filter((now) =>
    probes.tryStartProbe("plain", now)
  );
  expect(probeTimes).toEqual([0, 1_000, 2_000]);
  expect(probes.tryStartProbe("other", 0)).toEqual(false);
});

import type { ServingConfiguration } from "../../configuration/serving_configuration.ts";
import type { ServiceRoute } from "../../configuration/service_route.ts";
import { expect } from "earl";
import { test } from "node:test";
import { ActiveConfiguration } from "../../configuration/active_configuration.ts";
import { RouteTable } from "../../configuration/route_table.ts";

function route(name: string, prefix: string): ServiceRoute {
  return {
    name,
    host: "a.example",
    prefix,
    kind: "idempotent",
    timeoutMilliseconds: 1_000,
    objectiveMilliseconds: 100,
    attempts: 2,
    priority: 0,
    targets: [{ service: "s", weight: 1 }],
    isPublic: false,
    isResumable: false,
    stages: [],
  };
}

function configuration(
  version: number,
  routes: readonly ServiceRoute[] = [],
): ServingConfiguration {
  return {
    version,
    routes,
    services: [],
    limits: {
      headerBytes: 1,
      bodyBytes: 1,
      headerTimeoutMilliseconds: 1,
      idleTimeoutMilliseconds: 1,
    },
    accounts: [{ name: "acme", callerKeys: ["k1", "k2"], priority: 1 }],
  };
}

test("the longest matching prefix wins and hosts ignore case", () => {
  const table = new RouteTable(
    configuration(1, [route("short", "/a/"), route("long", "/a/b/")]),
  );
  expect(table.findRoute("A.Example", "/a/b/c")?.name).toEqual("long");
  expect(table.findRoute("a.example", "/a/c")?.name).toEqual("short");
  expect(table.findRoute("a.example", "/a")).toEqual(undefined);
  expect(table.findRoute("b.example", "/a/b")).toEqual(undefined);
});

test("a key identifies only its client account", () => {
  const table = new RouteTable(configuration(1));
  expect(table.findAccount("k2")?.name).toEqual("acme");
  expect(table.findAccount("k3")).toEqual(undefined);
});

test("a configuration is never replaced by an older version", () => {
  // Guards against a revoked key that becomes valid again for a second: version
  // 9 arrives from a peer, then version 7 from a store that just recovered, and
  // the configuration read last is treated as the newest.
  const activeConfiguration = new ActiveConfiguration();
  const seen: number[] = [];
  activeConfiguration.registerListener((table) =>
    seen.push(table.configuration.version)
  );
  expect(activeConfiguration.applyIfNewer(configuration(9))).toEqual(true);
  expect(activeConfiguration.applyIfNewer(configuration(7))).toEqual(false);
  expect(activeConfiguration.applyIfNewer(configuration(9))).toEqual(false);
  expect(seen).toEqual([9]);
});

import type { ServingConfiguration } from "../../configuration/serving_configuration.ts";
import type { ServiceRoute } from "../../configuration/service_route.ts";
import { expect } from "earl";
import { test } from "node:test";
import { ConfigurationKeeper } from "../../configuration/configuration_keeper.ts";
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

test("the longest prefix that begins the path wins, whatever the host's case", () => {
  const table = new RouteTable(
    configuration(1, [route("short", "/a/"), route("long", "/a/b/")]),
  );
  expect(table.findRoute("A.Example", "/a/b/c")?.name).toEqual("long");
  expect(table.findRoute("a.example", "/a/c")?.name).toEqual("short");
  expect(table.findRoute("a.example", "/a")).toEqual(undefined);
  expect(table.findRoute("b.example", "/a/b")).toEqual(undefined);
});

test("a key leads to its client account alone", () => {
  const table = new RouteTable(configuration(1));
  expect(table.findAccount("k2")?.name).toEqual("acme");
  expect(table.findAccount("k3")).toEqual(undefined);
});

test("a configuration never goes back", () => {
  // Symptom: a revoked key worked again for a second.
  // Sequence: version 9 came from a peer, then version 7 from a store that
  // had just come back.
  // Cause: the last one read was taken for the newest.
  const keeper = new ConfigurationKeeper();
  const seen: number[] = [];
  keeper.registerListener((table) => seen.push(table.configuration.version));
  expect(keeper.offer(configuration(9))).toEqual(true);
  expect(keeper.offer(configuration(7))).toEqual(false);
  expect(keeper.offer(configuration(9))).toEqual(false);
  expect(seen).toEqual([9]);
});

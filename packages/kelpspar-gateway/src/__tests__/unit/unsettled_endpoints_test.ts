import type { RequestRun } from "../../requests/request_run.ts";
import { expect } from "earl";
import { ManualTimer } from "kelpspar-shared";
import { test } from "node:test";
import { EndpointRegistry } from "../../endpoints/endpoint_registry.ts";
import { chooseRequestEndpoint } from "../../requests/choose_request_endpoint.ts";

/** A stream that begins where v1 is settled and v2 isn't; one endpoint each. */
function createRun(mayStart: (id: string) => boolean): RequestRun {
  const timer = new ManualTimer();
  const endpointRegistry = new EndpointRegistry();
  for (const version of ["v1", "v2"]) {
    endpointRegistry.upsert({
      id: version,
      bornAt: 0,
      service: "model",
      address: "10.0.0.1:80",
      zone: "a",
      version,
      slots: 4,
      isDraining: false,
    }, timer.now());
  }
  return {
    beginsResumableStream: true,
    options: {
      service: "model",
      dependencies: {
        endpointRegistry,
        timer,
        zone: "a",
        random: { next: () => 0 },
        configuration: {},
        streamOrigins: {
          isSettled: ({ version }: { readonly version: string }) =>
            version === "v1",
        },
        rateLimiter: {
          isWithinLimit: () => true,
          recordRequest: () => {},
        },
        concurrency: {
          mayStart: ({ entry }: { readonly entry: { readonly id: string } }) =>
            mayStart(entry.id),
        },
      },
    },
  } as unknown as RequestRun;
}

// Guards against a stream that is refused though only the old version's endpoints were tried, as long as the store can't be written.
test("a stream that the old version's endpoints rejected is sent to a new version", () => {
  const run = createRun(() => true);
  const choice = chooseRequestEndpoint(run, new Set(["v1"]));
  expect(choice?.endpoint.entry.id).toEqual("v2");
});

// Guards against streams that are refused while endpoints of a new version are free.
test("a stream is sent to a new version while the old one's endpoints are full", () => {
  const run = createRun((id) => id !== "v1");
  const choice = chooseRequestEndpoint(run, new Set());
  expect(choice?.endpoint.entry.id).toEqual("v2");
});

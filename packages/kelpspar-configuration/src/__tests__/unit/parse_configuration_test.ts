import { test } from "node:test";
import { expect } from "earl";
import fc from "fast-check";
import { mergeOverlay, parseConfiguration } from "../../mod.ts";
import { exampleSite } from "./example_files.ts";

const HASH = "a".repeat(64);

function errorsOf(overlay: unknown): string[] {
  const parsed = parseConfiguration(
    mergeOverlay(exampleSite("tillbrook"), overlay),
  );
  if (parsed.ok) return [];
  return parsed.errors.map(({ path, message }) => `${path}: ${message}`);
}

test("all errors are reported at once, each with its path", () => {
  const errors = errorsOf({
    accounts: {
      "tillbrook-growers": { share: 0.9, callerKeyHashes: ["short"] },
      unserved: { share: 0.01, callerKeyHashes: [HASH, HASH] },
    },
    operators: [{ id: "on-call", role: "king" }],
    models: [
      { id: "writer-12b", adapters: ["other"] },
      { id: "idle-1b", version: "1" },
    ],
    services: { booking: { models: ["absent"], "typed wrong": 1 } },
    pipelines: {
      "dispatch-question": {
        stages: [
          { id: "retrieve", service: "absent" },
          { id: "answer", model: null },
        ],
        accounts: [{ account: "nobody" }],
      },
      "spread-plan": { stages: [{ id: "encode", model: "writer-12b" }] },
    },
  });
  expect(errors).toEqual([
    "accounts[3].callerKeyHashes[0]: A key hash is a SHA-256 in 64 hexadecimal digits",
    'operators[0].role: Invalid option: expected one of "viewer"|"operator"|"administrator"',
    'services[4]["typed wrong"]: Unrecognized key',
    'accounts[5].callerKeyHashes[1]: Stands at "accounts[5].callerKeyHashes[0]" too',
    'services[4].models[0]: No model has the id "absent"',
    'pipelines[1].stages[1].service: No service has the id "absent"',
    'pipelines[1].accounts[4].account: No account has the id "nobody"',
    "accounts: The shares sum to 1.81, which is more than 1",
    'accounts[5]: No pipeline serves the account "unserved"',
    "services[4].models: A plain service runs no models",
    'models[2].minimumReady: No service runs the model "idle-1b", so none can stay ready',
    'pipelines[0].stages[0].model: The service "encoder" does not run the model "writer-12b"',
    'pipelines[0].stages[3].adapter: The model "writer-12b" has no adapter "spreading"',
    'pipelines[1].stages[2].model: A stage at the engine service "engine" must name a model',
    "pipelines[1].stages[2].adapter: An adapter needs a model",
  ]);
});

test("an id listed twice in an overlay is reported as a duplicate, not merged", () => {
  for (const id of ["twice", "tillbrook-growers"]) {
    const account = { id, share: 0.01, callerKeyHashes: [HASH] };
    const errors = errorsOf({ accounts: [account, account] });
    expect(errors.filter((error) => error.includes(".id: Stands at")).length)
      .toEqual(1);
  }
});

test("an unreadable list causes no errors about missing elements", () => {
  const errors = errorsOf({ services: "none", accounts: 7 });
  expect(errors.map((error) => error.split(":")[0])).toEqual([
    "accounts",
    "services",
  ]);
});

test("a stage at a service that is not repeatable has the effect once", () => {
  // Guards against a booking that is made twice when its stage is retried: an
  // operator adds a pipeline that ends at the booking service and leaves the
  // stage's effect at its default, which allows repeating the stage.
  const configuration = mergeOverlay(exampleSite("tillbrook"), {
    pipelines: {
      "booking-confirmation": { stages: [{ id: "book", effect: null }] },
    },
  });
  const parsed = parseConfiguration(configuration);
  const stages = parsed.ok && parsed.configuration.pipelines[2]?.stages;
  expect(stages && stages.map((stage) => stage.effect))
    .toEqual(["none", "none", "none", "none", "once"]);
});

test("parseConfiguration never throws, whatever the value", () => {
  const valid = exampleSite("amecc");
  fc.assert(
    fc.property(fc.anything(), fc.jsonValue(), (anything, overlay) => {
      parseConfiguration(anything);
      parseConfiguration(mergeOverlay(valid, overlay));
    }),
    { seed: 1, numRuns: 300 },
  );
});

test("corruption anywhere in a valid file is reported, never thrown", () => {
  const corruption = fc.constantFrom<unknown>(null, 3, "x y", [], {}, [null], [
    7,
  ]);
  const text = JSON.stringify(exampleSite("amecc"));
  const places = text.split(/(?=[{["0-9])/).length;
  fc.assert(
    fc.property(fc.nat(places), corruption, (place, value) => {
      let visited = 0;
      const corrupted = JSON.parse(
        text,
        (_, old) => visited++ === place ? value : old,
      );
      const parsed = parseConfiguration(corrupted);
      if (parsed.ok) return;
      for (const { path, message } of parsed.errors) {
        expect(typeof path).toEqual("string");
        expect(message.endsWith(".")).toEqual(false);
      }
    }),
    { seed: 2, numRuns: 500 },
  );
});

import { test } from "node:test";
import { expect } from "earl";
import { sha256 } from "kelpspar-shared";
import {
  configurationJsonSchema,
  indexConfiguration,
  parseConfiguration,
} from "../../mod.ts";
import { exampleSite, readExample } from "./example_files.ts";

test("the committed JSON Schema equals the generated one", () => {
  expect(readExample("configuration.schema.json"))
    .toEqual(JSON.parse(JSON.stringify(configurationJsonSchema())));
});

for (const site of ["tillbrook", "amecc"]) {
  test(`the example of ${site} is valid and has the size required by the brief`, () => {
    const parsed = parseConfiguration(exampleSite(site));
    expect(parsed).toLooseEqual({ ok: true, configuration: expect.a(Object) });
    if (!parsed.ok) return;
    const { accounts, pipelines, services } = parsed.configuration;
    expect([accounts.length, services.length]).toEqual([5, 5]);
    expect(accounts.filter((account) => account.share > 0.5).length)
      .toEqual(1);
    for (const { stages } of pipelines) {
      expect(stages.length >= 3 && stages.length <= 6).toEqual(true);
    }
  });

  test(`the sample keys of ${site} map to their accounts and operators`, () => {
    const parsed = parseConfiguration(exampleSite(site));
    if (!parsed.ok) throw new Error("The example is not valid");
    const index = indexConfiguration(parsed.configuration);
    for (const account of index.accounts.values()) {
      expect(index.accountsByCallerKeyHash.get(sha256(`${account.id}-key`)))
        .toEqual(account);
    }
    const hash = sha256("release-administrator-key");
    expect(index.operatorsByKeyHash.get(hash)?.id).toEqual("release");
    expect(Object.isFrozen(index.configuration.pipelines[0]?.stages[0]))
      .toEqual(true);
  });
}

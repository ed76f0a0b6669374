import type { Measurement, Subject } from "./measurement.ts";
import {
  configurationSchema,
  indexConfiguration,
  parseConfiguration,
} from "kelpspar-configuration";
import { countBytes, measureOperation, measureState } from "./measure.ts";
import { listNames, MODEL_COUNT, nameOf } from "./samples.ts";

const ACCOUNT_COUNTS = [5, 50, 380] as const;
const PIPELINE_COUNT = 5;
const STAGE_COUNT = 5;

/**
 * Measures the cost of the configuration by number of accounts, with 29 models
 * and 5 pipelines.
 */
export function* measureConfiguration(): Generator<Measurement> {
  for (const size of ACCOUNT_COUNTS) {
    const subject = (name: string): Subject => ({
      role: "configuration",
      name,
      unit: "accounts, 29 models",
      size,
    });
    const value = sampleConfiguration(size);
    const parsed = parseConfiguration(value);
    if (!parsed.ok) throw new Error(JSON.stringify(parsed.errors));
    const { configuration } = parsed;
    const text = JSON.stringify(configuration);
    yield {
      ...measureOperation(
        subject("parse and check"),
        () => parseConfiguration(JSON.parse(text)),
      ),
      messageBytes: countBytes(configuration),
    };
    yield measureOperation(
      subject("JSON.parse, each poll"),
      () => JSON.parse(text),
    );
    yield measureState(subject("configuration and its index"), () => {
      const copy = configurationSchema.parse(JSON.parse(text));
      return { copy, index: indexConfiguration(copy) };
    });
  }
}

function sampleConfiguration(accounts: number): unknown {
  const accountIds = listNames("account", accounts);
  const models = listNames("model", MODEL_COUNT);
  return {
    site: "capacity",
    accounts: accountIds.map((id, index) => ({
      id,
      share: 1 / (accounts + 1),
      callerKeyHashes: [index.toString(16).padStart(64, "0")],
    })),
    operators: [{
      id: "release",
      role: "administrator",
      keyHash: "f".repeat(64),
    }],
    models: models.map((id) => ({ id, version: "2025.3" })),
    services: [
      { id: "engine", kind: "engine", models, concurrency: 16 },
      ...listNames("plain", PIPELINE_COUNT).map((id) => ({
        id,
        kind: "plain",
        concurrency: 16,
      })),
    ],
    pipelines: listNames("pipeline", PIPELINE_COUNT).map((id, pipeline) => ({
      id,
      stages: listNames("stage", STAGE_COUNT).map((stage, index) =>
        index === STAGE_COUNT - 1
          ? { id: stage, service: "engine", model: models[pipeline] }
          : { id: stage, service: nameOf("plain", index) }
      ),
      accounts: accountIds.map((account) => ({ account, priority: 5 })),
    })),
  };
}

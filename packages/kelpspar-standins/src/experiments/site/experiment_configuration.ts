import type { ExperimentPipeline } from "../load/load_plan.ts";
import { sha256 } from "kelpspar-shared";
import { ACCOUNT_SHARES, ACCOUNTS } from "../load/load_plan.ts";
import {
  MODEL,
  MODEL_VERSION,
  ONCE_SERVICE,
  PIPELINE_SERVICES,
} from "./experiment_services.ts";

/** Operator key of the experiment sites. */
export const OPERATOR_KEY = "sample-experiment-operator-key";

const PLAIN_CONCURRENCY = 4;
const ENGINE_CONCURRENCY = 4;
const PLAIN_PROGRESS_TIMEOUT_MILLISECONDS = 500;
const ENGINE_PROGRESS_TIMEOUT_MILLISECONDS = 1_000;
const MAXIMUM_DEADLINE_MILLISECONDS = 30_000;

/** Caller key of an account. */
export function callerKey(account: string): string {
  return `sample-caller-key-of-${account}`;
}

/** Configuration parts that experiments override. */
export interface ConfigurationChanges {
  readonly sharedPrefixCharacters?: number;
  readonly limits?: Readonly<Record<string, number>>;
}

/** Creates the complete configuration of an experiment's site. */
export function createConfiguration(
  changes: ConfigurationChanges = {},
): Readonly<Record<string, unknown>> {
  const plain = ["encoder", "retriever", "reranker"] as const;
  return {
    site: "experiment",
    accounts: ACCOUNTS.map((id) => ({
      id,
      share: ACCOUNT_SHARES[id],
      callerKeyHashes: [sha256(callerKey(id))],
    })),
    operators: [{
      id: "experimenter",
      role: "administrator",
      keyHash: sha256(OPERATOR_KEY),
    }],
    models: [{ id: MODEL, version: MODEL_VERSION }],
    services: [
      ...plain.map((id) => createPlainService(id, true)),
      createPlainService(ONCE_SERVICE, false),
      {
        id: "engine",
        kind: "engine",
        models: [MODEL],
        concurrency: ENGINE_CONCURRENCY,
        progressTimeoutMilliseconds: ENGINE_PROGRESS_TIMEOUT_MILLISECONDS,
      },
    ],
    pipelines: (["plan", "booking", "chat", "order"] as const).map((id) =>
      createPipeline(id, changes.sharedPrefixCharacters ?? 0)
    ),
    limits: { addressKeepMilliseconds: 2_000, ...changes.limits },
  };
}

function createPlainService(id: string, repeatable: boolean): unknown {
  return {
    id,
    kind: "plain",
    repeatable,
    concurrency: PLAIN_CONCURRENCY,
    progressTimeoutMilliseconds: PLAIN_PROGRESS_TIMEOUT_MILLISECONDS,
  };
}

function createPipeline(
  id: ExperimentPipeline,
  sharedPrefixCharacters: number,
): unknown {
  return {
    id,
    stages: PIPELINE_SERVICES[id].map((service) => ({
      id: service,
      service,
      ...(service === "engine" ? { model: MODEL, sharedPrefixCharacters } : {}),
      ...(service === ONCE_SERVICE ? { effect: "once" } : {}),
    })),
    maximumDeadlineMilliseconds: MAXIMUM_DEADLINE_MILLISECONDS,
    accounts: ACCOUNTS.map((account) => ({ account, priority: 5 })),
  };
}

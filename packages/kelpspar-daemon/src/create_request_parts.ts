import type { DaemonPorts } from "./daemon_ports.ts";
import type { ConfigurationManager } from "./configuration/configuration_manager.ts";
import type { Fleet } from "./fleet/fleet.ts";
import type { RequestMetrics } from "./metrics/request_metrics.ts";
import type { ClaimHolderQuery } from "./requests/resolve_settlement.ts";
import type { DecisionParts } from "./scheduling/decision_parts.ts";
import type { FairScheduler } from "./scheduling/fair_scheduler.ts";
import type { Settings } from "./settings/settings_schema.ts";
import type { StateConfigurationReader } from "./state/state_configuration_reader.ts";
import type { KeyLedger } from "kelpspar-decisions/claims";
import { ClaimService } from "./claims/claim_service.ts";
import { errorDetails } from "./log/daemon_log.ts";
import { RequestAdmission } from "./requests/request_admission.ts";
import { KeyLookup } from "./requests/key_lookup.ts";
import { PipelineRunner } from "./requests/pipeline_runner.ts";
import { RecordGapEstimator } from "./requests/record_gap_estimator.ts";
import { RequestKeys } from "./requests/request_keys.ts";
import { RequestRegistry } from "./requests/request_registry.ts";
import { RequestService } from "./requests/request_service.ts";
import { RetryingStageRunner } from "./requests/retrying_stage_runner.ts";

/** Dependencies of the components that run requests. */
export interface RequestPartsOptions {
  readonly settings: Settings;
  readonly ports: DaemonPorts;
  readonly incarnation: string;
  readonly configuration: StateConfigurationReader;
  readonly parts: DecisionParts;
  readonly scheduler: FairScheduler;
  readonly registry: RequestRegistry;
  readonly ledger: KeyLedger;
  readonly metrics: RequestMetrics;
  readonly fleet: Fleet;
  readonly configurationManager: ConfigurationManager;
}

/** The components that run requests. */
export interface RequestParts {
  readonly claims: ClaimService;
  readonly requests: RequestService;
  readonly lookup: KeyLookup;
  readonly admission: RequestAdmission;
}

/** Creates the components that run requests. */
export function createRequestParts(options: RequestPartsOptions): RequestParts {
  const { settings, ports, configuration, registry, metrics, fleet } = options;
  const { timer, random, log, table } = ports;
  const claims = new ClaimService({
    table,
    timer,
    random,
    log,
    lingerMilliseconds: settings.intervals.claimBatchMilliseconds,
  });
  const stages = new RetryingStageRunner({
    endpoints: ports.endpoints,
    scheduler: options.scheduler,
    parts: options.parts,
    recordGaps: new RecordGapEstimator(),
    timer,
    random,
    observer: metrics,
    onForeignRecord: ({ requestId, attemptId }) =>
      log.warn("dropped a record of another request", { requestId, attemptId }),
  });
  const keys = new RequestKeys({ ledger: options.ledger, timer });
  const createHolderQuery = (
    accountId: string,
    idempotencyKey: string,
  ): ClaimHolderQuery =>
    createAskHolder(options, { accountId, idempotencyKey });
  const admission = new RequestAdmission({
    admission: options.parts.admission,
    scheduler: options.scheduler,
    registry,
    maximumRequests: settings.limits.maximumRequests,
    isLeaving: () => !fleet.isServing(),
    configurationRefusal: () => options.configurationManager.refusal(),
    timer,
    random,
  });
  const requests = new RequestService({
    configuration,
    pipelines: new PipelineRunner({ stages, configuration }),
    registry,
    keys,
    claims,
    admission,
    createHolderQuery: ({ account, request }) =>
      createHolderQuery(account.id, request.idempotencyKey ?? ""),
    incarnation: options.incarnation,
    timer,
    random,
    abandonedGraceMilliseconds: settings.limits.abandonedGraceMilliseconds,
    onEnd: (context, final) => {
      metrics.onEnd(context, final);
      log.debug("request ended", {
        requestId: context.requestId,
        account: context.account.id,
        result: final.type === "end" ? "ok" : final.result,
      });
    },
    onRefused: (accountId, error) => {
      metrics.onRefused(accountId, error);
      log.debug("request refused", errorDetails(error));
    },
  });
  const lookup = new KeyLookup({
    keys,
    registry,
    table,
    createHolderQuery,
    incarnation: options.incarnation,
  });
  return { claims, requests, lookup, admission };
}

function createAskHolder(
  options: RequestPartsOptions,
  name: { readonly accountId: string; readonly idempotencyKey: string },
): ClaimHolderQuery {
  return async ({ daemon, operationId }) => {
    const peer = options.fleet.findAddress(daemon);
    if (peer === undefined) return { type: "silent" };
    try {
      return await options.ports.peers.askClaim(peer, { ...name, operationId });
    } catch {
      return { type: "silent" };
    }
  };
}

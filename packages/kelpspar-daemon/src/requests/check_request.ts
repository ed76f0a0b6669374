import type {
  AccountConfiguration,
  Configuration,
  PipelineConfiguration,
} from "kelpspar-configuration";
import type { SubmitRequest } from "kelpspar-shared";
import { KelpsparError } from "kelpspar-shared";

/** A request that passed the checks against the configuration in force. */
export interface CheckedRequest {
  readonly account: AccountConfiguration;
  readonly pipeline: PipelineConfiguration;
  readonly request: SubmitRequest;
  /** 0 is the most urgent. */
  readonly priority: number;
}

/**
 * Checks a request against the configuration in force. Throws
 * `unknown_pipeline`, `not_allowed` or `deadline_out_of_range`.
 */
export function checkRequest(
  configuration: Configuration,
  submission: {
    readonly account: AccountConfiguration;
    readonly request: SubmitRequest;
  },
): CheckedRequest {
  const { account, request } = submission;
  const pipeline = configuration.pipelines.find((candidate) =>
    candidate.id === request.pipeline
  );
  if (pipeline === undefined) {
    throw new KelpsparError(
      "unknown_pipeline",
      `There is no pipeline "${request.pipeline}"`,
    );
  }
  const grant = pipeline.accounts.find((candidate) =>
    candidate.account === account.id
  );
  if (grant === undefined) {
    throw new KelpsparError(
      "not_allowed",
      `Client account "${account.id}" may not use pipeline "${pipeline.id}"`,
    );
  }
  checkDeadline(pipeline, request);
  const priority = Math.max(grant.priority, request.priority);
  return { account, pipeline, request, priority };
}

function checkDeadline(
  pipeline: PipelineConfiguration,
  request: SubmitRequest,
): void {
  const deadline = request.deadlineMilliseconds;
  const maximum = pipeline.maximumDeadlineMilliseconds;
  if (deadline > 0 && deadline <= maximum) return;
  throw new KelpsparError(
    "deadline_out_of_range",
    `Deadline ${deadline} ms is not between 1 and ${maximum} ms`,
  );
}

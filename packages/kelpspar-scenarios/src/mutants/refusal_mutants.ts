import type { EndpointClient } from "kelpspar-platform";
import type { StageRecord } from "kelpspar-shared";
import type { MutatedCall } from "./with_endpoints.ts";
import type { Mutant } from "./mutant.ts";
import { KelpsparError } from "kelpspar-shared";
import { withEndpoints, withRecords } from "./with_endpoints.ts";

/** Guards of "when a refusal says a request was not run, it was not run". */
export const REFUSAL_MUTANTS: readonly Mutant[] = [
  {
    name: "broken_connection_counts_as_refused",
    removes: "Only a connection that was never made proves that nothing ran",
    mutation: withEndpoints({ call: alwaysProved }),
    noticedBy:
      "truthful_refusals: the booking service loses the answer of every 2nd call",
  },
  {
    name: "every_failure_counts_as_not_started",
    removes: "Only the endpoint's word proves that a call was not started",
    mutation: withRecords((record) =>
      record.type === "failure" ? { ...record, started: false } : record
    ),
    noticedBy: "truthful_refusals: the booking service fails every 2nd call",
  },
  {
    name: "resubmissions_not_told",
    removes: "A caller says that it sent the same key before",
    mutation: { dropsResubmission: true },
    noticedBy:
      "truthful_refusals: a caller comes back to the daemon that it left for another",
  },
];

async function* alwaysProved(
  client: EndpointClient,
  { address, call, options }: MutatedCall,
): AsyncGenerator<StageRecord> {
  try {
    yield* client.call(address, call, options);
  } catch (thrown) {
    if (!(thrown instanceof KelpsparError)) throw thrown;
    throw new KelpsparError("endpoint_refused", thrown.message);
  }
}

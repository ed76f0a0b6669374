import type { EndpointClient } from "kelpspar-backends";
import type { StageRecord, TimerService } from "kelpspar-shared";
import type { InterceptedCall } from "./with_endpoints.ts";
import type { Mutant } from "./mutant.ts";
import { KelpsparError } from "kelpspar-shared";
import {
  overrideClient,
  withEndpoints,
  withRecords,
} from "./with_endpoints.ts";

/** Shorter than any progress timeout of the scenarios. */
const SILENCE_TIMEOUT_MILLISECONDS = 300;

/** Mutants of the invariant that a request refused as not run did not run. */
export const REFUSAL_MUTANTS: readonly Mutant[] = [
  {
    name: "broken_connection_counts_as_refused",
    removes: "Only a connection that was never made proves that nothing ran",
    mutation: withEndpoints({ call: treatErrorAsRefusal }),
    noticedBy:
      "truthful_refusals: the booking service loses the answer of every 2nd call",
  },
  {
    name: "no_whole_answer_counts_as_refused",
    removes: "A stream that ends early or goes silent proves nothing",
    mutation: withEndpoints({ call: treatPartialAsRefusal }),
    noticedBy:
      "truthful_refusals: the booking service cuts every 2nd answer short",
  },
  {
    name: "silence_counts_as_refused",
    removes: "A call that is not answered may have run",
    mutation: {
      ports: (ports) => ({
        ...ports,
        endpoints: overrideClient(ports.endpoints, {
          call: (client, intercepted) =>
            treatSilenceAsRefusal(client, {
              ...intercepted,
              timer: ports.timer,
            }),
        }),
      }),
    },
    noticedBy:
      "truthful_refusals: the booking service never answers every 2nd call",
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

async function* treatErrorAsRefusal(
  client: EndpointClient,
  { address, call, options }: InterceptedCall,
): AsyncGenerator<StageRecord> {
  try {
    yield* client.call(address, call, options);
  } catch (thrown) {
    if (!(thrown instanceof KelpsparError)) throw thrown;
    throw new KelpsparError("endpoint_refused", thrown.message);
  }
}

async function* treatPartialAsRefusal(
  client: EndpointClient,
  { address, call, options }: InterceptedCall,
): AsyncGenerator<StageRecord> {
  let isEnded = false;
  let length = 0;
  for await (const record of client.call(address, call, options)) {
    if (record.type === "chunk") length += record.text.length;
    if (record.type === "end") isEnded = record.length === length;
    yield record;
  }
  if (isEnded) return;
  throw new KelpsparError("endpoint_refused", "The answer was incomplete");
}

async function* treatSilenceAsRefusal(
  client: EndpointClient,
  intercepted: InterceptedCall & { readonly timer: TimerService },
): AsyncGenerator<StageRecord> {
  const { address, call, options, timer } = intercepted;
  const records = client.call(address, call, options)[Symbol.asyncIterator]();
  for (;;) {
    const next = await Promise.race([records.next(), waitForTimeout(timer)]);
    if (next === undefined) {
      throw new KelpsparError(
        "endpoint_refused",
        "The call was not answered in time",
      );
    }
    if (next.done === true) return;
    yield next.value;
  }
}

function waitForTimeout(timer: TimerService): Promise<undefined> {
  return new Promise((resolve) => {
    timer.registerTimeout(
      () => resolve(undefined),
      SILENCE_TIMEOUT_MILLISECONDS,
    );
  });
}

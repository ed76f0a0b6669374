import type { RequestRun } from "./request_run.ts";
import {
  createChainReader,
  createChainRequest,
} from "./create_chain_request.ts";

/**
 * Time that a request waits for its placement: several round trips to another
 * daemon. After that this daemon chooses the endpoint itself.
 */
const PLACEMENT_TIMEOUT_MILLISECONDS = 60;

/**
 * Asks the coordinator for the endpoint of a request without stages to run.
 * This includes plain services: where all endpoints have rate limits, the
 * coordinator assigns the larger share of them.
 */
export async function requestPlacement(run: RequestRun): Promise<void> {
  const { dependencies, service } = run.options;
  const { chainRunner, timer } = dependencies;
  run.sendsAtPlacementRequest = run.sends;
  const abortController = new AbortController();
  const stop = (): void => abortController.abort();
  const stopTimer = timer.registerTimeout(stop, PLACEMENT_TIMEOUT_MILLISECONDS);
  run.stop.signal.addEventListener("abort", stop, { once: true });
  const reader = createChainReader(run) ??
    { service, promptParts: [], version: run.streamOrigin?.version };
  const chain = createChainRequest(run, { stages: [], reader });
  const outcome = await chainRunner.run(chain, abortController.signal);
  stopTimer();
  run.stop.signal.removeEventListener("abort", stop);
  run.applyPlacement(outcome);
}

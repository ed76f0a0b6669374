import type { RequestRun } from "./request_run.ts";
import { chainOf, readerOf } from "./create_chain_request.ts";

/**
 * A request waits so long for its place, milliseconds: some times the way to
 * another daemon and back. It goes where this daemon thinks best if that takes
 * longer.
 */
const PLACE_MILLISECONDS = 60;

/**
 * Asks the coordinator where a request goes whose stages are done, or that has
 * none. For plain services too: where all endpoints name limits, the larger
 * part of what they take is the coordinator's to give out.
 */
export async function findPlace(run: RequestRun): Promise<void> {
  const { parts, service } = run.options;
  const { chains, timer } = parts;
  run.placeAskedAt = run.sends;
  const abort = new AbortController();
  const stop = (): void => abort.abort();
  const stopTimer = timer.registerTimeout(stop, PLACE_MILLISECONDS);
  run.stop.signal.addEventListener("abort", stop, { once: true });
  const reader = readerOf(run) ?? { service, promptParts: [] };
  const chain = chainOf(run, { stages: [], reader });
  const outcome = await chains.run(chain, abort.signal);
  stopTimer();
  run.stop.signal.removeEventListener("abort", stop);
  run.takePlacing(outcome);
}

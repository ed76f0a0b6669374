import type { DaemonProcess } from "../daemon/daemon_process.ts";
import type { NetworkLink } from "./network_link.ts";
import type { Network } from "./network.ts";

/** A request from a daemon to another party, and how it is answered. */
export interface ExchangeOptions<Answer> {
  readonly network: Network;
  readonly process: DaemonProcess;
  readonly from: string;
  readonly to: string;
  /** Handles the request at the other party. */
  readonly handleRequest: () => Promise<Answer>;
  readonly timeoutMilliseconds: number;
  /** True to open a new connection; default false: use the pooled one. */
  readonly isNewConnection?: boolean;
  /** Creates the error of a request that timed out. */
  readonly createNoAnswerError: () => Error;
}

/**
 * Sends a request over the pooled connection and returns its answer. As with
 * the platform's HTTP clients, a timeout makes the next exchange open a new
 * connection.
 */
export function exchange<Answer>(
  options: ExchangeOptions<Answer>,
): Promise<Answer> {
  const { network, process, from, to } = options;
  const isNew = options.isNewConnection === true;
  const link = network.link(from, to);
  const generation = isNew ? link.newestGeneration : link.pooledGeneration;
  return new Promise<Answer>((resolve, reject) => {
    const stopTimer = process.timer.registerTimeout(() => {
      if (!isNew) link.renewPooled();
      reject(options.createNoAnswerError());
    }, options.timeoutMilliseconds);
    process.receive(transfer(options, { link, generation })).then((answer) => {
      stopTimer();
      resolve(answer);
    }, (thrown) => {
      stopTimer();
      reject(thrown);
    });
  });
}

/** Never settles if the request or its answer is lost. */
async function transfer<Answer>(
  options: ExchangeOptions<Answer>,
  connection: { readonly link: NetworkLink; readonly generation: number },
): Promise<Answer> {
  const { network, from, to } = options;
  const { link, generation } = connection;
  await network.waitForTransit(from, to);
  if (!link.canDeliver(generation)) return await never();
  const answer = await options.handleRequest();
  await network.waitForTransit(to, from);
  if (!link.canDeliver(generation)) return await never();
  return answer;
}

function never(): Promise<never> {
  return new Promise(() => {});
}

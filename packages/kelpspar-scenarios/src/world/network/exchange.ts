import type { DaemonProcess } from "../daemon/daemon_process.ts";
import type { NetworkLink } from "./network_link.ts";
import type { Network } from "./network.ts";

/** One request from a daemon to another party, and its answer. */
export interface ExchangeOptions<Answer> {
  readonly network: Network;
  readonly process: DaemonProcess;
  readonly from: string;
  readonly to: string;
  /** What the other party does when the request arrives. */
  readonly handleRequest: () => Promise<Answer>;
  readonly timeoutMilliseconds: number;
  /** True for a connection of its own; default false: the kept one. */
  readonly isNewConnection?: boolean;
  /** The error of an exchange without an answer. */
  readonly createNoAnswerError: () => Error;
}

/**
 * Carries a request and its answer over the kept connection, like the
 * platform's HTTP clients: a time-out makes the next exchange use a new
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

/** Never settles when the request or its answer is lost. */
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

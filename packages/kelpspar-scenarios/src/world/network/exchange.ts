import type { DaemonProcess } from "../daemon/daemon_process.ts";
import type { NetworkLink } from "./network_link.ts";
import type { Network } from "./network.ts";

/** One request from a daemon to another party, and its answer. */
export interface Exchange<Answer> {
  readonly network: Network;
  readonly process: DaemonProcess;
  readonly from: string;
  readonly to: string;
  /** What the other party does when the request arrives. */
  readonly work: () => Promise<Answer>;
  readonly timeoutMilliseconds: number;
  /** True for a connection of its own; default false: the kept one. */
  readonly isNewConnection?: boolean;
  /** The error of an exchange without an answer. */
  readonly lost: () => Error;
}

/**
 * Carries a request and its answer over the kept connection, like the
 * platform's HTTP clients: a time-out makes the next exchange use a new
 * connection.
 */
export function exchange<Answer>(options: Exchange<Answer>): Promise<Answer> {
  const { network, process, from, to } = options;
  const isNew = options.isNewConnection === true;
  const link = network.link(from, to);
  const generation = isNew ? link.newest : link.pooled;
  return new Promise<Answer>((resolve, reject) => {
    const stopTimer = process.timer.registerTimeout(() => {
      if (!isNew) link.renew();
      reject(options.lost());
    }, options.timeoutMilliseconds);
    process.receive(carry(options, { link, generation })).then((answer) => {
      stopTimer();
      resolve(answer);
    }, (thrown) => {
      stopTimer();
      reject(thrown);
    });
  });
}

/** Never settles when the request or its answer is lost. */
async function carry<Answer>(
  options: Exchange<Answer>,
  connection: { readonly link: NetworkLink; readonly generation: number },
): Promise<Answer> {
  const { network, from, to } = options;
  const { link, generation } = connection;
  await network.travel(from, to);
  if (!link.carries(generation)) return await never();
  const answer = await options.work();
  await network.travel(to, from);
  if (!link.carries(generation)) return await never();
  return answer;
}

function never(): Promise<never> {
  return new Promise(() => {});
}

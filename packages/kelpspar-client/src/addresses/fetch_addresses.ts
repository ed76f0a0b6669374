import type {
  AddressAnswer,
  DaemonAddress,
  TimerService,
} from "kelpspar-shared";
import type { DaemonTransport } from "../transport/daemon_transport.ts";
import { KelpsparError } from "kelpspar-shared";
import { readAnswerRecord } from "../records/read_answer_record.ts";
import { ProgressWatch } from "../transport/progress_watchdog.ts";
import { daemonPlace } from "./daemon_address.ts";
import { readAddressAnswer } from "./read_address_answer.ts";

/** How addresses are asked for. */
export interface FetchAddressesOptions {
  readonly transport: DaemonTransport;
  readonly timer: TimerService;
  readonly timeoutMilliseconds: number;
}

/**
 * Asks one daemon which addresses to use, over a connection of its own, since
 * a pooled one may be silent. Throws KelpsparError.
 */
export async function fetchAddresses(
  daemon: DaemonAddress,
  options: FetchAddressesOptions,
): Promise<AddressAnswer> {
  const watch = new ProgressWatch({
    timer: options.timer,
    milliseconds: options.timeoutMilliseconds,
  });
  try {
    return await watch.step(exchange(daemon, {
      transport: options.transport,
      signal: watch.signal,
    }));
  } finally {
    watch.end();
  }
}

async function exchange(
  daemon: DaemonAddress,
  options: {
    readonly transport: DaemonTransport;
    readonly signal: AbortSignal;
  },
): Promise<AddressAnswer> {
  const { body, release } = await options.transport.open(daemon, {
    method: "GET",
    path: "/v1/addresses",
    signal: options.signal,
    isolated: true,
  });
  try {
    const chunks: Uint8Array[] = [];
    for await (const chunk of body) chunks.push(chunk);
    return read(daemon, JSON.parse(Buffer.concat(chunks).toString("utf8")));
  } finally {
    release();
  }
}

function read(daemon: DaemonAddress, value: unknown): AddressAnswer {
  const answer = readAddressAnswer(value);
  if (answer !== undefined) return answer;
  const record = readAnswerRecord(value);
  if (record?.type === "failure") {
    throw new KelpsparError(record.result, record.message);
  }
  throw new KelpsparError(
    "peer_unavailable",
    `What answers at "${daemonPlace(daemon)}" is not a daemon`,
  );
}

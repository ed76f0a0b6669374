import type {
  AddressAnswer,
  DaemonAddress,
  TimerService,
} from "kelpspar-shared";
import type { DaemonTransport } from "../transport/daemon_transport.ts";
import { KelpsparError } from "kelpspar-shared";
import { readAnswerRecord } from "../records/read_answer_record.ts";
import { ProgressWatchdog } from "../transport/progress_watchdog.ts";
import { toHostPort } from "./daemon_address.ts";
import { readAddressAnswer } from "./read_address_answer.ts";

/** Options of `fetchAddresses`. */
export interface FetchAddressesOptions {
  readonly transport: DaemonTransport;
  readonly timer: TimerService;
  readonly timeoutMilliseconds: number;
}

/**
 * Fetches the addresses to use from one daemon. Uses a dedicated connection,
 * because a pooled one may have gone silent. Throws KelpsparError.
 */
export async function fetchAddresses(
  daemon: DaemonAddress,
  options: FetchAddressesOptions,
): Promise<AddressAnswer> {
  const watchdog = new ProgressWatchdog({
    timer: options.timer,
    milliseconds: options.timeoutMilliseconds,
  });
  try {
    return await watchdog.waitFor(exchange(daemon, {
      transport: options.transport,
      signal: watchdog.signal,
    }));
  } finally {
    watchdog.end();
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
    return toAddressAnswer(
      daemon,
      JSON.parse(Buffer.concat(chunks).toString("utf8")),
    );
  } finally {
    release();
  }
}

function toAddressAnswer(daemon: DaemonAddress, value: unknown): AddressAnswer {
  const answer = readAddressAnswer(value);
  if (answer !== undefined) return answer;
  const record = readAnswerRecord(value);
  if (record?.type === "failure") {
    throw new KelpsparError(record.result, record.message);
  }
  throw new KelpsparError(
    "peer_unavailable",
    `Cannot read addresses from "${
      toHostPort(daemon)
    }": the server is not a daemon`,
  );
}

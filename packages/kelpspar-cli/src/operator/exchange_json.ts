import type { JsonAnswer, JsonExchange } from "kelpspar-backends";
import type { TimerService } from "kelpspar-shared";
import { ExchangeError, isConnectFailure } from "kelpspar-backends";
import { GuardedClient, readBody } from "kelpspar-http";

/** Options of `exchangeJson`. */
export interface ExchangeJsonOptions {
  readonly key: string;
  readonly timer: TimerService;
  readonly timeoutMilliseconds: number;
}

/** An exchange and the daemon to send it to, as `address:port`. */
export interface AddressedExchange extends JsonExchange {
  readonly place: string;
}

/**
 * Exchanges JSON with a daemon over a new connection, so that a silent
 * connection is never reused. Throws ExchangeError if no complete answer
 * arrives in time.
 */
export async function exchangeJson(
  exchange: AddressedExchange,
  options: ExchangeJsonOptions,
): Promise<JsonAnswer> {
  const { place, method, path, body } = exchange;
  const abort = new AbortController();
  const stopTimer = options.timer.registerTimeout(
    () => abort.abort(new Error("timed out")),
    options.timeoutMilliseconds,
  );
  let client: GuardedClient | undefined;
  try {
    client = new GuardedClient(`http://${place}`, {
      connect: { timeout: options.timeoutMilliseconds },
    });
    const answer = await client.request({
      method,
      path,
      signal: abort.signal,
      headers: {
        "authorization": `Bearer ${options.key}`,
        "content-type": "application/json",
      },
      body: body === undefined ? null : JSON.stringify(body),
    });
    const bytes = await readBody(answer.body);
    return {
      status: answer.statusCode,
      body: JSON.parse(bytes.toString("utf8")),
    };
  } catch (cause) {
    const reason = cause instanceof Error ? cause.message : String(cause);
    throw new ExchangeError(
      `"${method} ${path}" at the daemon "${place}" failed: ${reason}`,
      {
        mayHaveArrived: client !== undefined && !isConnectFailure(cause),
        cause,
      },
    );
  } finally {
    stopTimer();
    void client?.destroy();
  }
}

import type { TimerService } from "kelpspar-shared";
import { Client } from "undici";
import { OPERATOR_KEY } from "../site/experiment_configuration.ts";

const TIMEOUT_MILLISECONDS = 3_000;

/** A request to the operator interface of a daemon. */
export interface OperatorExchange {
  readonly method: "GET" | "POST";
  readonly path: string;
  readonly body?: unknown;
}

/** Sends an operator request; undefined if no answer arrives in time. */
export async function requestAsOperator(
  port: number,
  exchange: OperatorExchange,
  options: { readonly timer: TimerService },
): Promise<{ readonly status: number; readonly body: unknown } | undefined> {
  const client = new Client(`http://127.0.0.1:${port}`);
  const abort = new AbortController();
  const stopTimer = options.timer.registerTimeout(
    () => abort.abort(),
    TIMEOUT_MILLISECONDS,
  );
  try {
    const answer = await client.request({
      method: exchange.method,
      path: exchange.path,
      headers: { authorization: `Bearer ${OPERATOR_KEY}` },
      body: exchange.body === undefined ? null : JSON.stringify(exchange.body),
      signal: abort.signal,
    });
    const body = await answer.body.json();
    return { status: answer.statusCode, body };
  } catch {
    return undefined;
  } finally {
    stopTimer();
    void client.destroy();
  }
}

import type { JsonAnswer, JsonExchange } from "kelpspar-backends";
import type { TimerService } from "kelpspar-shared";
import { ExchangeError } from "kelpspar-backends";
import { KelpsparError, RESULT_CODES } from "kelpspar-shared";
import { exchangeJson } from "./exchange_json.ts";
import { toAnswerError } from "./failure_answer.ts";

const DEFAULT_TIMEOUT_MILLISECONDS = 5_000;
const STATUS_OK = 200;

/** Options of an `OperatorClient`. */
export interface OperatorClientOptions {
  /** As `address:port`, tried in order. */
  readonly daemons: readonly string[];
  readonly key: string;
  readonly timer: TimerService;
  /** Timeout of one daemon, in milliseconds; default 5,000. */
  readonly timeoutMilliseconds?: number;
}

/** Client of the daemons' HTTP interface for operators. */
export class OperatorClient {
  readonly #options: OperatorClientOptions;

  constructor(options: OperatorClientOptions) {
    this.#options = options;
  }

  /** The daemons in the order in which they are tried. */
  get daemons(): readonly string[] {
    return this.#options.daemons;
  }

  /**
   * Sends the exchange to the daemons in order until one answers. Only for
   * idempotent exchanges. Throws KelpsparError.
   */
  async request(exchange: JsonExchange): Promise<unknown> {
    let failure = new KelpsparError("usage", "No daemon was specified");
    for (const place of this.daemons) {
      try {
        return await this.requestFrom(place, exchange);
      } catch (error) {
        if (!(error instanceof KelpsparError)) throw error;
        if (RESULT_CODES[error.result].retry !== "elsewhere") throw error;
        failure = error;
      }
    }
    throw failure;
  }

  /**
   * Sends the exchange to the daemons in order, for data that may exist at only
   * one of them. The next daemon is tried after any failure. Throws
   * KelpsparError.
   */
  async requestUntilFound(exchange: JsonExchange): Promise<unknown> {
    let failure = new KelpsparError("usage", "No daemon was specified");
    for (const place of this.daemons) {
      try {
        return await this.requestFrom(place, exchange);
      } catch (error) {
        if (!(error instanceof KelpsparError)) throw error;
        failure = error;
      }
    }
    throw failure;
  }

  /**
   * Sends the exchange to one daemon and returns the answer's body. Throws
   * KelpsparError, `peer_unavailable` if the daemon does not answer.
   */
  async requestFrom(place: string, exchange: JsonExchange): Promise<unknown> {
    try {
      const answer = await this.exchangeWith(place, exchange);
      if (answer.status === STATUS_OK) return answer.body;
      throw toAnswerError(place, answer);
    } catch (error) {
      if (!(error instanceof ExchangeError)) throw error;
      throw new KelpsparError("peer_unavailable", error.message);
    }
  }

  /** Sends one exchange to one daemon. Throws ExchangeError. */
  exchangeWith(place: string, exchange: JsonExchange): Promise<JsonAnswer> {
    const { key, timer, timeoutMilliseconds } = this.#options;
    return exchangeJson({ ...exchange, place }, {
      key,
      timer,
      timeoutMilliseconds: timeoutMilliseconds ?? DEFAULT_TIMEOUT_MILLISECONDS,
    });
  }
}

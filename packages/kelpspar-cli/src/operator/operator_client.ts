import type { JsonAnswer, JsonExchange } from "kelpspar-backends";
import type { TimerService } from "kelpspar-shared";
import { ExchangeError } from "kelpspar-backends";
import { KelpsparError, RESULT_CODES } from "kelpspar-shared";
import { exchangeJson } from "./exchange_json.ts";
import { toAnswerError } from "./failure_answer.ts";

const DEFAULT_TIMEOUT_MILLISECONDS = 5_000;
const STATUS_OK = 200;

/** How an operator reaches the daemons. */
export interface OperatorClientOptions {
  /** As `address:port`, tried in turn. */
  readonly daemons: readonly string[];
  readonly key: string;
  readonly timer: TimerService;
  /** How long one daemon may take, milliseconds; default 5,000. */
  readonly timeoutMilliseconds?: number;
}

/** The operators' side of the daemons' HTTP interface. */
export class OperatorClient {
  readonly #options: OperatorClientOptions;

  constructor(options: OperatorClientOptions) {
    this.#options = options;
  }

  /** The daemons in the order they are tried. */
  get daemons(): readonly string[] {
    return this.#options.daemons;
  }

  /**
   * Asks the daemons in turn until one answers. Only for exchanges that do no
   * harm when they are made twice. Throws KelpsparError.
   */
  async ask(exchange: JsonExchange): Promise<unknown> {
    let failure = new KelpsparError("usage", "No daemon was named");
    for (const place of this.daemons) {
      try {
        return await this.askAt(place, exchange);
      } catch (error) {
        if (!(error instanceof KelpsparError)) throw error;
        if (RESULT_CODES[error.result].retry !== "elsewhere") throw error;
        failure = error;
      }
    }
    throw failure;
  }

  /**
   * Asks each daemon in turn for what only one of them may have: one that
   * does not find it, or does not answer, leads to the next.
   */
  async askEach(exchange: JsonExchange): Promise<unknown> {
    let failure = new KelpsparError("usage", "No daemon was named");
    for (const place of this.daemons) {
      try {
        return await this.askAt(place, exchange);
      } catch (error) {
        if (!(error instanceof KelpsparError)) throw error;
        failure = error;
      }
    }
    throw failure;
  }

  /** Asks one daemon. Throws KelpsparError, `peer_unavailable` if silent. */
  async askAt(place: string, exchange: JsonExchange): Promise<unknown> {
    try {
      const answer = await this.exchangeAt(place, exchange);
      if (answer.status === STATUS_OK) return answer.body;
      throw toAnswerError(place, answer);
    } catch (error) {
      if (!(error instanceof ExchangeError)) throw error;
      throw new KelpsparError("peer_unavailable", error.message);
    }
  }

  /** One exchange with one daemon. Throws ExchangeError. */
  exchangeAt(place: string, exchange: JsonExchange): Promise<JsonAnswer> {
    const { key, timer, timeoutMilliseconds } = this.#options;
    return exchangeJson({ ...exchange, place }, {
      key,
      timer,
      timeoutMilliseconds: timeoutMilliseconds ?? DEFAULT_TIMEOUT_MILLISECONDS,
    });
  }
}

import type { HttpReply } from "../front/http_reply.ts";
import type {
  DaemonAnswer,
  RefusedProgress,
  RequestReply,
} from "../requests/request_reply.ts";
import type { RelayOrigin } from "./relay_origin.ts";
import { RELAY_ORIGIN_HEADER } from "./relay_origin.ts";
import { encodeRelayRefusal } from "./relay_refusal.ts";

/** Options of a `RelayReply`. */
export interface RelayReplyOptions {
  readonly reply: HttpReply;
  /** Whether another daemon should be asked. */
  readonly isUnable: () => boolean;
  /** Sends the head of an answer before its body. */
  readonly flushHead: () => void;
}

/** Answers a relayed request; marks the answers of this daemon as its own. */
export class RelayReply implements RequestReply {
  readonly #options: RelayReplyOptions;
  readonly #reply: HttpReply;
  #hasBegun = false;

  constructor(options: RelayReplyOptions) {
    this.#options = options;
    this.#reply = options.reply;
  }

  get disconnectSignal(): AbortSignal {
    return this.#reply.disconnectSignal;
  }

  get sent(): Promise<boolean> {
    return this.#reply.sent;
  }

  refuse(answer: DaemonAnswer, progress: RefusedProgress = {}): void {
    if (this.#hasBegun) {
      this.#reply.abort();
      return;
    }
    const isUnable = this.#options.isUnable();
    this.#reply.answer(
      answer.status,
      markOrigin("daemon", []),
      encodeRelayRefusal({ ...answer, ...progress, isUnable }),
    );
  }

  answer(status: number, headers: readonly string[], body: Uint8Array): void {
    if (this.#hasBegun) this.#reply.abort();
    else this.#reply.answer(status, markOrigin("endpoint", headers), body);
  }

  begin(status: number, headers: readonly string[]): void {
    this.#hasBegun = true;
    this.#reply.begin(status, markOrigin("endpoint", headers));
    this.#options.flushHead();
  }

  write(chunk: Uint8Array): Promise<void> {
    return this.#reply.write(chunk);
  }

  end(): void {
    this.#reply.end();
  }

  abort(): void {
    this.#reply.abort();
  }
}

function markOrigin(
  origin: RelayOrigin,
  headers: readonly string[],
): readonly string[] {
  return [...headers, RELAY_ORIGIN_HEADER, origin];
}

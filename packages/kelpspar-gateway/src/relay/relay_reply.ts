import type { HttpReply } from "../front/http_reply.ts";
import type {
  DaemonAnswer,
  RefusedProgress,
  RequestReply,
} from "../requests/request_reply.ts";
import type { RelayOrigin } from "./relay_origin.ts";
import { RELAY_ORIGIN_HEADER } from "./relay_origin.ts";
import { encodeRelayRefusal } from "./relay_refusal.ts";

/** Answers a relayed request; marks the answers of this daemon as its own. */
export class RelayReply implements RequestReply {
  readonly #reply: HttpReply;
  readonly #isUnable: () => boolean;

  /** `isUnable` tells whether another daemon should be asked. */
  constructor(reply: HttpReply, isUnable: () => boolean) {
    this.#reply = reply;
    this.#isUnable = isUnable;
  }

  get disconnectSignal(): AbortSignal {
    return this.#reply.disconnectSignal;
  }

  get sent(): Promise<boolean> {
    return this.#reply.sent;
  }

  refuse(answer: DaemonAnswer, progress: RefusedProgress = {}): void {
    const isUnable = this.#isUnable();
    this.#reply.answer(
      answer.status,
      markOrigin("daemon", []),
      encodeRelayRefusal({ ...answer, ...progress, isUnable }),
    );
  }

  answer(status: number, headers: readonly string[], body: Uint8Array): void {
    this.#reply.answer(status, markOrigin("endpoint", headers), body);
  }

  begin(status: number, headers: readonly string[]): void {
    this.#reply.begin(status, markOrigin("endpoint", headers));
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

import type {
  IncomingMessage,
  RequestListener,
  ServerResponse,
} from "node:http";
import type { BodyFailure, CallerBudget } from "kelpspar-http";
import type { OpenExchanges } from "../front/open_exchanges.ts";
import type { DaemonAnswer, RequestReply } from "../requests/request_reply.ts";
import type { RelayMessage } from "./relay_message.ts";
import { receiveBody } from "kelpspar-http";
import { discardBody } from "../front/discard_body.ts";
import { HttpReply } from "../front/http_reply.ts";
import { decodeRelayMessage } from "./relay_message.ts";
import { RELAY_PATH } from "./relay_path.ts";
import { RelayReply } from "./relay_reply.ts";

const MAXIMUM_MESSAGE_BYTES = 16 * 1024 * 1024;
/** Bytes of a message that is refused; its sender reads the answer after them. */
const MAXIMUM_DISCARDED_MESSAGE_BYTES = 2 * MAXIMUM_MESSAGE_BYTES;
/** Relayed requests in progress at one daemon. */
const MAXIMUM_OPEN_REQUESTS = 256;
const BUSY_RETRY_MILLISECONDS = 500;
const UNREADABLE: DaemonAnswer = {
  status: 503,
  message: "unreadable relayed request",
};
const REFUSALS: Readonly<Record<Exclude<BodyFailure, "cut">, DaemonAnswer>> = {
  no_memory: {
    status: 503,
    retryAfterMilliseconds: BUSY_RETRY_MILLISECONDS,
    message: "no memory for the relayed request",
  },
  too_large: UNREADABLE,
  too_slow: UNREADABLE,
};

/** Options of `createRelayListener`. */
export interface RelayListenerOptions {
  readonly serve: (message: RelayMessage, reply: RequestReply) => Promise<void>;
  /** False if another daemon should be asked. */
  readonly isAble: (message: RelayMessage) => boolean;
  readonly exchanges: OpenExchanges;
  /** Bounds the messages and answers that are held at the same time. */
  readonly budget: CallerBudget;
  /** Answers requests at other paths. */
  readonly otherwise: RequestListener;
}

/** Creates the listener that serves requests relayed by other daemons. */
export function createRelayListener(
  options: RelayListenerOptions,
): RequestListener {
  let open = 0;
  return (request, response) => {
    if (request.url !== RELAY_PATH) {
      options.otherwise(request, response);
      return;
    }
    options.exchanges.track(request, response);
    if (open >= MAXIMUM_OPEN_REQUESTS) {
      void refuse(request, createReply(response, options), {
        status: 503,
        retryAfterMilliseconds: BUSY_RETRY_MILLISECONDS,
        message: "too many relayed requests",
      });
      return;
    }
    open++;
    void handle(request, response, options).finally(() => open--);
  };
}

async function handle(
  request: IncomingMessage,
  response: ServerResponse,
  options: RelayListenerOptions,
): Promise<void> {
  const { serve, isAble, budget } = options;
  const body = await receiveBody(request, {
    maximumBytes: MAXIMUM_MESSAGE_BYTES,
    budget,
  });
  if (body === "cut") return;
  if (typeof body === "string") {
    await refuse(request, createReply(response, options), REFUSALS[body]);
    return;
  }
  try {
    const message = decode(body.bytes);
    if (message === undefined) {
      createReply(response, options).refuse(UNREADABLE);
      return;
    }
    await serve(
      message,
      createReply(response, options, () => !isAble(message)),
    );
  } finally {
    body.release();
  }
}

/**
 * Refuses a request after its whole body: the answer closes the connection, and
 * would be lost while the body still arrives.
 */
async function refuse(
  request: IncomingMessage,
  reply: RelayReply,
  answer: DaemonAnswer,
): Promise<void> {
  const options = { maximumBytes: MAXIMUM_DISCARDED_MESSAGE_BYTES };
  if (await discardBody(request, options)) reply.refuse(answer);
}

function createReply(
  response: ServerResponse,
  { budget }: RelayListenerOptions,
  isUnable = (): boolean => true,
): RelayReply {
  const reply = new HttpReply(response, { mustClose: () => true, budget });
  const flushHead = (): void => {
    if (!response.destroyed) response.flushHeaders();
  };
  return new RelayReply({ reply, isUnable, flushHead });
}

function decode(bytes: Uint8Array): RelayMessage | undefined {
  try {
    return decodeRelayMessage(bytes);
  } catch {
    return undefined;
  }
}

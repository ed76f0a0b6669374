import type {
  IncomingMessage,
  RequestListener,
  ServerResponse,
} from "node:http";
import type { OpenExchanges } from "../front/open_exchanges.ts";
import type { RequestReply } from "../requests/request_reply.ts";
import type { RelayMessage } from "./relay_message.ts";
import { receiveBody } from "kelpspar-http";
import { HttpReply } from "../front/http_reply.ts";
import { decodeRelayMessage } from "./relay_message.ts";
import { RELAY_PATH } from "./relay_path.ts";
import { RelayReply } from "./relay_reply.ts";

const MAXIMUM_MESSAGE_BYTES = 16 * 1024 * 1024;
/** Relayed requests in progress at one daemon. */
const MAXIMUM_OPEN_REQUESTS = 256;
const BUSY_RETRY_MILLISECONDS = 500;

/** Options of `createRelayListener`. */
export interface RelayListenerOptions {
  readonly serve: (message: RelayMessage, reply: RequestReply) => Promise<void>;
  /** False if another daemon should be asked. */
  readonly isAble: (message: RelayMessage) => boolean;
  readonly exchanges: OpenExchanges;
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
      request.resume();
      createReply(response, () => true).refuse({
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
  { serve, isAble }: RelayListenerOptions,
): Promise<void> {
  const bytes = await receiveBody(request, {
    maximumBytes: MAXIMUM_MESSAGE_BYTES,
  });
  if (bytes === "cut") return;
  const message = bytes === "too_large" ? undefined : decode(bytes);
  const reply = createReply(
    response,
    () => message === undefined || !isAble(message),
  );
  if (message !== undefined) return await serve(message, reply);
  reply.refuse({ status: 503, message: "unreadable relayed request" });
  request.resume();
}

function createReply(
  response: ServerResponse,
  isUnable: () => boolean,
): RelayReply {
  return new RelayReply(new HttpReply(response, () => true), isUnable);
}

function decode(bytes: Uint8Array): RelayMessage | undefined {
  try {
    return decodeRelayMessage(bytes);
  } catch {
    return undefined;
  }
}

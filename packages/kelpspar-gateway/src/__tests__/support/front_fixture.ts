import type { Socket } from "node:net";
import type { RequestReply } from "../../requests/request_reply.ts";
import type { ServingRequest } from "../../requests/serving_request.ts";
import { once } from "node:events";
import { connect, createServer } from "node:net";
import { FrontServer } from "../../front/front_server.ts";
import { OpenExchanges } from "../../front/open_exchanges.ts";
import { request } from "./request_world.ts";

/** Limit of bodies at a `FrontFixture`, bytes. */
export const FRONT_BODY_BYTES = 256 * 1024;

/** Finds a port that is free now. */
export async function findFreePort(): Promise<number> {
  const probe = createServer().listen(0, "127.0.0.1");
  await once(probe, "listening");
  const address = probe.address();
  await new Promise((resolve) => probe.close(resolve));
  return typeof address === "object" ? address?.port ?? 0 : 0;
}

/** Resolves once the event loop has polled its sockets `count` times. */
export async function pollSockets(count: number): Promise<void> {
  for (let turn = 0; turn < count; turn++) {
    await new Promise<void>((resolve) => setImmediate(resolve));
  }
}

/** Waits until `condition` holds; the test's own timeout is its only bound. */
export async function waitFor(condition: () => boolean): Promise<void> {
  while (!condition()) {
    await new Promise((resolve) => setTimeout(resolve, 2));
  }
}

/** Connects and collects what is answered. */
export class RawCaller {
  readonly socket: Socket;
  text = "";
  isClosed = false;

  constructor(port: number) {
    this.socket = connect(port, "127.0.0.1");
    this.socket.on("data", (chunk) => this.text += chunk.toString("latin1"));
    this.socket.on("error", () => {});
    this.socket.on("close", () => this.isClosed = true);
  }

  /** Status codes of the answers so far. */
  get statuses(): readonly string[] {
    return [...this.text.matchAll(/HTTP\/1\.1 (\d+)/g)]
      .map(([, status]) => status ?? "");
  }
}

/** Sends without an end, until the connection is closed. */
export async function sendUntilClosed(
  caller: RawCaller,
  part: string,
): Promise<void> {
  while (!caller.isClosed) {
    if (!caller.socket.write(part)) {
      await Promise.race([
        once(caller.socket, "drain").catch(() => {}),
        once(caller.socket, "close").catch(() => {}),
      ]);
    }
    await pollSockets(1);
  }
}

/** A front whose requests are served by the test. */
export class FrontFixture {
  readonly exchanges = new OpenExchanges();
  readonly front: FrontServer;
  readonly port: number;

  private constructor(
    port: number,
    serve: (request: ServingRequest, reply: RequestReply) => Promise<void>,
  ) {
    this.port = port;
    this.front = new FrontServer({
      decode: ({ url }, body) => request({ body, target: url ?? "/" }),
      isLeaving: () => false,
      exchanges: this.exchanges,
      serve,
    });
    this.front.limits = {
      headerBytes: 10_000,
      bodyBytes: FRONT_BODY_BYTES,
      headerTimeoutMilliseconds: 5_000,
      idleTimeoutMilliseconds: 5_000,
    };
  }

  static async start(
    serve: (request: ServingRequest, reply: RequestReply) => Promise<void>,
  ): Promise<FrontFixture> {
    const fixture = new FrontFixture(await findFreePort(), serve);
    await fixture.front.listen(`127.0.0.1:${fixture.port}`);
    return fixture;
  }

  stop(): void {
    this.front.stopListening();
    this.front.closeIdleConnections();
  }
}

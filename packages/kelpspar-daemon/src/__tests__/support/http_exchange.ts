import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import { Buffer } from "node:buffer";
import { request as httpRequest } from "node:http";
import { connect } from "node:net";

/** An HTTP response, read completely or until the connection ended. */
export interface HttpAnswer {
  readonly status: number;
  readonly text: string;
}

/** A request sent through an HTTP library. */
export interface SentRequest {
  readonly port: number;
  readonly method?: string;
  readonly path: string;
  readonly key?: string;
  readonly headers?: Readonly<Record<string, string>>;
  /** Text is sent unchanged, any other value as JSON. */
  readonly body?: unknown;
}

const NO_STATUS = 0;

/** Sends a request on a new connection and reads the complete response. */
export async function exchange(sent: SentRequest): Promise<HttpAnswer> {
  const answer = await openExchange(sent);
  let text = "";
  for await (const piece of answer.setEncoding("utf8")) text += String(piece);
  return { status: answer.statusCode ?? NO_STATUS, text };
}

/** Sends a request; resolves when the response headers arrive. */
export function openExchange(sent: SentRequest): Promise<IncomingMessage> {
  const { port, key, body } = sent;
  const authorization = key === undefined
    ? {}
    : { authorization: `Bearer ${key}` };
  return new Promise((resolve, reject) => {
    const request = httpRequest({
      port,
      host: "127.0.0.1",
      agent: false,
      method: sent.method ?? (body === undefined ? "GET" : "POST"),
      path: sent.path,
      headers: { ...authorization, ...sent.headers },
    }, resolve);
    request.on("error", reject);
    if (body === undefined) request.end();
    else request.end(typeof body === "string" ? body : JSON.stringify(body));
  });
}

/** Opens a TCP connection, sends `text` and keeps it open. */
export async function openSocket(
  port: number,
  text: string,
): Promise<Socket> {
  const socket = connect({ port, host: "127.0.0.1", allowHalfOpen: true });
  socket.on("error", () => {});
  await new Promise<void>((resolve) => socket.once("connect", resolve));
  socket.write(text, "latin1");
  return socket;
}

/**
 * Reads one response from a TCP connection by its content length, or until the
 * other side closes if it has none.
 */
export function readAnswer(socket: Socket): Promise<HttpAnswer> {
  return new Promise((resolve) => {
    let received = Buffer.alloc(0);
    const finish = (): void => resolve(parseAnswer(received));
    socket.on("data", (piece: Buffer) => {
      received = Buffer.concat([received, piece]);
      if (isWhole(received)) finish();
    });
    socket.on("end", finish);
    socket.on("close", finish);
  });
}

/** Sends bytes on a new connection, reads one response and closes. */
export async function exchangeBytes(
  port: number,
  text: string,
): Promise<HttpAnswer> {
  const socket = await openSocket(port, text);
  const answer = await readAnswer(socket);
  socket.destroy();
  return answer;
}

function isWhole(received: Buffer): boolean {
  const text = received.toString("latin1");
  const end = text.indexOf("\r\n\r\n");
  const length = /content-length: (\d+)/i.exec(text)?.[1];
  if (end < 0 || length === undefined) return false;
  return received.length >= end + 4 + Number(length);
}

function parseAnswer(received: Buffer): HttpAnswer {
  const text = received.toString("utf8");
  const status = /^HTTP\/1\.1 (\d+)/.exec(text)?.[1];
  const end = text.indexOf("\r\n\r\n");
  return {
    status: status === undefined ? NO_STATUS : Number(status),
    text: end < 0 ? "" : text.slice(end + 4),
  };
}

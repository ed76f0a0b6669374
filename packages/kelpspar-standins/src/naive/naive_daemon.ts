import type { ListedVm } from "kelpspar-backends";
import type { FailureRecord, SubmitRequest } from "kelpspar-shared";
import type { Settings } from "kelpspar-daemon";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import type { NaivePipeline } from "./naive_pipeline.ts";
import type { NaiveView } from "./naive_view.ts";
import { createServer } from "node:http";
import {
  extendChecksum,
  formatChecksum,
  RESULT_CODES,
  sha256,
  SystemRandom,
} from "kelpspar-shared";
import { readJsonBody } from "../http/read_json_body.ts";

const ADDRESS_KEEP_MILLISECONDS = 5_000;

/** Options of `startNaiveDaemon`. */
export interface NaiveDaemonOptions {
  readonly settings: Settings;
  readonly view: NaiveView;
  readonly pipeline: NaivePipeline;
}

/** A response of JSON lines that is written at once, without streaming. */
interface NaiveReply {
  readonly status: number;
  readonly lines: readonly unknown[];
}

type Handler = (
  request: IncomingMessage,
  options: NaiveDaemonOptions,
) => Promise<NaiveReply>;

const HANDLERS: Readonly<Record<string, Handler>> = {
  "GET /v1/addresses": async (_request, { view }) =>
    reply({
      daemons: view.live("daemon").map(toAddress),
      keepMilliseconds: ADDRESS_KEEP_MILLISECONDS,
    }),
  "GET /v1/operator/status": async (_request, { view }) =>
    reply({ revision: view.revision, daemons: view.live("daemon") }),
  "GET /v1/operator/endpoints": async (_request, { view }) =>
    reply({
      endpoints: view.live("endpoint").map(({ id }) => ({
        id,
        concurrency: 1,
      })),
    }),
  "GET /v1/operator/configuration": async (_request, { view }) =>
    reply(view.row),
  "POST /v1/operator/configuration": async (request, { view }) => {
    const { changeId, configuration } = await readJsonBody(request) as {
      readonly changeId: string;
      readonly configuration: unknown;
    };
    return reply({ revision: await view.apply({ changeId, configuration }) });
  },
  "POST /v1/requests": runRequest,
};

/**
 * Starts a naive daemon, which serves the caller and operator paths that the
 * experiments use. Returns its port.
 */
export async function startNaiveDaemon(
  options: NaiveDaemonOptions,
): Promise<number> {
  const server: Server = createServer(
    (request, response) => void handleRequest(request, response, options),
  );
  const { address, port } = options.settings;
  await new Promise<void>((resolve) => server.listen(port, address, resolve));
  return (server.address() as AddressInfo).port;
}

async function handleRequest(
  request: IncomingMessage,
  response: ServerResponse,
  options: NaiveDaemonOptions,
): Promise<void> {
  const path = (request.url ?? "").split("?")[0];
  const handler = HANDLERS[`${request.method} ${path}`];
  const { status, lines } = handler === undefined
    ? fail("unknown_path", "No such path")
    : await handler(request, options).catch((error: unknown) =>
      fail("stage_failed", String(error))
    );
  response.writeHead(status);
  response.end(lines.map((line) => `${JSON.stringify(line)}\n`).join(""));
}

async function runRequest(
  request: IncomingMessage,
  { view, pipeline, settings }: NaiveDaemonOptions,
): Promise<NaiveReply> {
  const body = await readJsonBody(request) as SubmitRequest;
  const key = request.headers.authorization?.slice("Bearer ".length) ?? "";
  const hash = sha256(key);
  const account = view.configuration?.accounts.find(({ callerKeyHashes }) =>
    callerKeyHashes.includes(hash)
  );
  if (account === undefined) return fail("unknown_caller_key", "Unknown key");
  const requestId = new SystemRandom().nextHexadecimal(12);
  const { text, cost } = await pipeline.run({
    requestId,
    accountId: account.id,
    pipeline: body.pipeline,
    input: body.input,
  });
  const checksum = formatChecksum(extendChecksum(0, text));
  const end = { type: "end", requestId, length: text.length, checksum, cost };
  return {
    status: 200,
    lines: [
      { type: "accepted", requestId, daemon: settings.daemonId },
      { type: "chunk", offset: 0, text },
      { ...end, elapsedMilliseconds: 0 },
    ],
  };
}

/**
 * Reports every failure as `not_run`, whether or not a stage ran, because that
 * is how callers interpret a 503 of a plain proxy.
 */
function fail(result: FailureRecord["result"], message: string): NaiveReply {
  const { number, httpStatus } = RESULT_CODES[result];
  const failure: FailureRecord = {
    type: "failure",
    code: number,
    result,
    outcome: "not_run",
    retry: "later",
    message,
  };
  return { status: httpStatus, lines: [failure] };
}

function reply(body: unknown): NaiveReply {
  return { status: 200, lines: [body] };
}

function toAddress(vm: ListedVm): unknown {
  const { address, port, availabilityZone, incarnation } = vm;
  return {
    address,
    port,
    availabilityZone,
    incarnation,
    keyEpoch: 0,
    weight: 1,
  };
}

// A client of the daemons: one request at a time on a kept channel.
import { Agent, request } from "node:http";
import { now } from "./platform.mjs";

/** Why an attempt ended that its client gave up at its deadline. */
export const DEADLINE_ERROR = "the client's deadline";

let attempts = 0;

export function nextAttemptId() {
  return `a${(++attempts).toString(16).padStart(15, "0")}`;
}

/** A kept channel to one daemon. */
export class Channel {
  /** Number of requests sent on it. */
  uses = 0;

  constructor(address) {
    this.address = address;
    this.agent = new Agent({ keepAlive: true, maxSockets: 1 });
  }

  close() {
    this.agent.destroy();
  }

  /**
   * Sends a request; resolves to its attempt with status, headers, the text
   * received, and whether the answer is complete.
   */
  send(
    { path, method = "GET", headers = {}, body, deadline = 15_000, onData },
  ) {
    const attemptId = nextAttemptId();
    this.uses++;
    const attempt = {
      attemptId,
      path,
      method,
      address: this.address,
      sentAt: now(),
      status: undefined,
      text: "",
      isComplete: false,
      error: undefined,
    };
    const [host, port] = this.address.split(":");
    return new Promise((resolve) => {
      const end = (error) => {
        clearTimeout(timer);
        if (attempt.endedAt !== undefined) return;
        attempt.endedAt = now();
        attempt.error = error;
        resolve(attempt);
      };
      const outgoing = request({
        host,
        port,
        method,
        path,
        agent: this.agent,
        headers: {
          Host: "site.example",
          "X-Attempt-Id": attemptId,
          "X-Deadline-Ms": String(deadline),
          "X-Api-Key": "key-a",
          ...headers,
          ...(body === undefined ? {} : { "Content-Length": body.length }),
        },
      }, (response) => {
        attempt.status = response.statusCode;
        attempt.headers = response.headers;
        response.on("data", (chunk) => {
          attempt.text += chunk;
          onData?.(attempt, outgoing);
        });
        response.on("end", () => {
          attempt.isComplete = response.complete;
          end(undefined);
        });
        response.on("error", (error) => end(error.message));
        response.on("close", () => end("closed"));
      });
      const timer = setTimeout(() => {
        outgoing.destroy();
        end(DEADLINE_ERROR);
      }, deadline);
      outgoing.on("error", (error) => end(error.message));
      outgoing.end(body);
    });
  }
}

/** Sends requests at a constant rate on kept channels; returns the stop. */
export function sendSteadily(perSecond, address, sent, send) {
  const free = [];
  const timer = setInterval(() => {
    const channel = free.pop() ?? new Channel(address);
    sent.push(
      send(channel).then((attempt) => {
        attempt.isOnKeptChannel = channel.uses > 1;
        if (attempt.isComplete) free.push(channel);
        else channel.close();
        return attempt;
      }),
    );
  }, 1_000 / perSecond);
  return () => clearInterval(timer);
}

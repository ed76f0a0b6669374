import type { CrowdBehaviour } from "./crowd_behaviour.ts";
import type { CrowdHead } from "./crowd_caller.ts";

const BODY = "body";
const LENGTH = `Content-Length: ${BODY.length}`;
const BYTE_MILLISECONDS = 1_000;

/** Sends whole requests on one connection and reads no answer. */
export function pipelineRequests(count: number): CrowdBehaviour {
  return async (caller) => {
    const connection = await caller.connect({ isRead: false });
    const requests = Array.from(
      { length: count },
      () => caller.head({ fields: [LENGTH] }) + BODY,
    );
    await connection.write(requests.join(""));
  };
}

/** Sends one request and doesn't read its answer. */
export function leaveUnread(head: CrowdHead): CrowdBehaviour {
  return async (caller) => {
    const connection = await caller.connect({ isRead: false });
    const fields = head.method === "GET" ? [] : [LENGTH];
    const text = caller.head({ ...head, fields });
    await connection.write(head.method === "GET" ? text : text + BODY);
  };
}

/** Sends nothing. */
export function stayIdle(): CrowdBehaviour {
  return async (caller) => {
    await caller.connect();
  };
}

/** Sends part of a head, then a byte a second. */
export function sendHeadSlowly(bytes: number): CrowdBehaviour {
  return async (caller) => {
    const connection = await caller.connect();
    const head = `${caller.head().trimEnd()}\r\nX-Long: `;
    await connection.write(head.padEnd(bytes, "x"));
    await caller.writeRepeatedly(Buffer.from("x"), {
      bytes: Number.POSITIVE_INFINITY,
      pauseMilliseconds: BYTE_MILLISECONDS,
    });
  };
}

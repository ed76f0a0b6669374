import type { StageCall, StageFailureReason } from "kelpspar-shared";
import type { CallFate } from "../call_faults.ts";
import type { RecordWriter } from "../record_writer.ts";
import { writeFailure } from "../write_failure.ts";
import { countTokens } from "./count_tokens.ts";

/** The call whose records an attempt writes now, and where to. */
interface Connection {
  readonly call: StageCall;
  readonly writer: RecordWriter;
}

/** Why an attempt makes no further tokens. */
export type AttemptEnd = "complete" | "failed" | "cancelled";

/**
 * One generation. It lives apart from the connection that carries it, so that
 * another connection can take it up at an offset.
 */
export class Attempt {
  /** The call that began it. */
  readonly call: StageCall;
  readonly tokensIn: number;
  prefillMilliseconds = 0;
  runnerMilliseconds = 0;
  started = false;
  stopGrace: () => void = () => {};
  /** Where each token ends, in UTF-16 units. */
  readonly #ends: readonly number[];
  readonly #text: string;
  readonly #fate: CallFate;
  readonly #stopsAtToken: number;
  #connection: Connection | undefined;
  #nextToken = 0;
  #offset: number;
  #tokensOut = 0;
  #end: AttemptEnd | undefined;

  constructor(
    call: StageCall,
    options: {
      readonly tokens: readonly string[];
      readonly fate: CallFate;
      readonly writer: RecordWriter;
    },
  ) {
    this.call = call;
    this.tokensIn = countTokens(call.input) +
      countTokens(call.partialText ?? "");
    this.#ends = toEnds(options.tokens);
    this.#text = options.tokens.join("");
    this.#fate = options.fate;
    this.#stopsAtToken = Math.floor(
      options.fate.progress * this.#ends.length,
    );
    this.#connection = { call, writer: options.writer };
    this.#offset = call.resumeOffset ?? 0;
    this.#skipTokens();
  }

  /** Undefined while it still makes tokens. */
  get end(): AttemptEnd | undefined {
    return this.#end;
  }

  get isConnected(): boolean {
    return this.#connection !== undefined;
  }

  /** False when the partial text is not the beginning of this answer. */
  get fitsPartialText(): boolean {
    const { partialText } = this.call;
    return partialText === undefined ||
      this.#text.slice(0, this.#offset) === partialText;
  }

  get queuedTokens(): number {
    return this.tokensIn + this.#ends.length - this.#nextToken;
  }

  /** Makes the next token and sends it. */
  step(): void {
    if (this.#isStopped()) return;
    const end = this.#ends[this.#nextToken];
    if (end === undefined) return this.finish("complete");
    const from = this.#offset;
    this.#nextToken += 1;
    this.#tokensOut += 1;
    this.#offset = end;
    this.#send(from);
    if (this.#nextToken === this.#ends.length) this.finish("complete");
  }

  /** Ends it and tells the connection, if there is one. */
  finish(end: AttemptEnd): void {
    if (this.#end !== undefined) return;
    this.#end = end;
    if (end === "complete" && this.#fate.losesAnswer) this.drop();
    else this.#writeEnd();
  }

  /**
   * Goes on over another connection, from `call.resumeOffset`. The one before
   * is dropped: it may have gone silent without anyone noticing.
   */
  resume(call: StageCall, writer: RecordWriter): void {
    this.drop();
    this.stopGrace();
    this.#connection = { call, writer };
    this.#send(0);
    if (this.#end !== undefined) this.#writeEnd();
  }

  /** Forgets a connection that broke, unless it has another one now. */
  disconnect(writer: RecordWriter): void {
    if (this.#connection?.writer === writer) this.#connection = undefined;
  }

  /** Drops the connection. */
  drop(): void {
    this.#connection?.writer.drop();
    this.#connection = undefined;
  }

  #isStopped(): boolean {
    if (this.#nextToken < this.#stopsAtToken) return false;
    if (this.#fate.fails === "running") {
      this.finish("failed");
      return true;
    }
    if (this.#fate.cuts && this.#nextToken === this.#stopsAtToken) this.drop();
    return false;
  }

  /** Sends what was made from `from` on and the caller does not have. */
  #send(from: number): void {
    if (this.#connection === undefined) return;
    const { call, writer } = this.#connection;
    const offset = Math.max(from, call.resumeOffset ?? 0);
    if (offset >= this.#offset) return;
    const { requestId, stageId, attemptId } = call;
    const text = this.#text.slice(offset, this.#offset);
    const ids = { requestId, stageId, attemptId };
    writer.write({ type: "chunk", ...ids, offset, text });
  }

  #writeEnd(): void {
    if (this.#connection === undefined) return;
    const { call, writer } = this.#connection;
    if (this.#end !== "complete") return this.#writeFailure(call, writer);
    const { requestId, stageId, attemptId } = call;
    writer.write({
      type: "end",
      requestId,
      stageId,
      attemptId,
      length: this.#text.length,
      runnerMilliseconds: this.runnerMilliseconds,
      tokensIn: this.tokensIn,
      tokensOut: this.#tokensOut,
    });
    writer.end();
  }

  #writeFailure(call: StageCall, writer: RecordWriter): void {
    const reason: StageFailureReason = this.#end === "cancelled"
      ? "cancelled"
      : "failed";
    writeFailure(writer, { call, started: this.started, reason });
  }

  /** Skips the tokens that lie before the offset it begins at. */
  #skipTokens(): void {
    const next = this.#ends.findIndex((end) => end > this.#offset);
    this.#nextToken = next < 0 ? this.#ends.length : next;
  }
}

function toEnds(tokens: readonly string[]): number[] {
  let end = 0;
  return tokens.map((token) => end += token.length);
}

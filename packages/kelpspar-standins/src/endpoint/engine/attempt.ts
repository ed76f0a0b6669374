import type { StageCall, StageFailureReason } from "kelpspar-shared";
import type { CallFaults } from "../call_faults.ts";
import type { RecordWriter } from "../record_writer.ts";
import { writeFailure } from "../write_failure.ts";
import { countTokens } from "./count_tokens.ts";

/** The connection of an attempt: the call that opened it and its writer. */
interface Connection {
  readonly call: StageCall;
  readonly writer: RecordWriter;
}

/** Why an attempt generates no further tokens. */
export type AttemptEnd = "complete" | "failed" | "cancelled";

/**
 * One generation. It is independent of its connection, so that another
 * connection can resume it at an offset.
 */
export class Attempt {
  /** The call that started the attempt. */
  readonly call: StageCall;
  readonly tokensIn: number;
  prefillMilliseconds = 0;
  runnerMilliseconds = 0;
  started = false;
  stopGrace: () => void = () => {};
  /** End offset of each token, in UTF-16 units. */
  readonly #tokenEnds: readonly number[];
  readonly #text: string;
  readonly #faults: CallFaults;
  readonly #faultToken: number;
  #connection: Connection | undefined;
  #nextToken = 0;
  #offset: number;
  #tokensOut = 0;
  #end: AttemptEnd | undefined;

  constructor(
    call: StageCall,
    options: {
      readonly tokens: readonly string[];
      readonly faults: CallFaults;
      readonly writer: RecordWriter;
    },
  ) {
    this.call = call;
    this.tokensIn = countTokens(call.input) +
      countTokens(call.partialText ?? "");
    this.#tokenEnds = toTokenEnds(options.tokens);
    this.#text = options.tokens.join("");
    this.#faults = options.faults;
    this.#faultToken = Math.floor(
      options.faults.progress * this.#tokenEnds.length,
    );
    this.#connection = { call, writer: options.writer };
    this.#offset = call.resumeOffset ?? 0;
    this.#skipTokens();
  }

  /** Undefined while the attempt generates tokens. */
  get end(): AttemptEnd | undefined {
    return this.#end;
  }

  get isConnected(): boolean {
    return this.#connection !== undefined;
  }

  /** Whether the partial text, if any, is a prefix of this answer. */
  get matchesPartialText(): boolean {
    const { partialText } = this.call;
    return partialText === undefined ||
      this.#text.slice(0, this.#offset) === partialText;
  }

  get queuedTokens(): number {
    return this.tokensIn + this.#tokenEnds.length - this.#nextToken;
  }

  /** Generates and sends the next token. */
  step(): void {
    if (this.#isStoppedByFault()) return;
    const end = this.#tokenEnds[this.#nextToken];
    if (end === undefined) return this.finish("complete");
    const from = this.#offset;
    this.#nextToken += 1;
    this.#tokensOut += 1;
    this.#offset = end;
    this.#send(from);
    if (this.#nextToken === this.#tokenEnds.length) this.finish("complete");
  }

  /** Ends the attempt and writes the final record, if it is connected. */
  finish(end: AttemptEnd): void {
    if (this.#end !== undefined) return;
    this.#end = end;
    if (end === "complete" && this.#faults.losesAnswer) this.drop();
    else this.#writeEnd();
  }

  /**
   * Continues over another connection from `call.resumeOffset`. Drops the
   * previous connection, which may have gone silent without being detected.
   */
  resume(call: StageCall, writer: RecordWriter): void {
    this.drop();
    this.stopGrace();
    this.#connection = { call, writer };
    this.#send(0);
    if (this.#end !== undefined) this.#writeEnd();
  }

  /** Clears a broken connection, unless it was already replaced. */
  disconnect(writer: RecordWriter): void {
    if (this.#connection?.writer === writer) this.#connection = undefined;
  }

  /** Drops the connection. */
  drop(): void {
    this.#connection?.writer.drop();
    this.#connection = undefined;
  }

  #isStoppedByFault(): boolean {
    if (this.#nextToken < this.#faultToken) return false;
    if (this.#faults.fails === "running") {
      this.finish("failed");
      return true;
    }
    if (this.#faults.cuts && this.#nextToken === this.#faultToken) this.drop();
    return false;
  }

  /** Sends generated text after `from` that the caller doesn't have yet. */
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

  /** Skips the tokens before the start offset. */
  #skipTokens(): void {
    const next = this.#tokenEnds.findIndex((end) => end > this.#offset);
    this.#nextToken = next < 0 ? this.#tokenEnds.length : next;
  }
}

function toTokenEnds(tokens: readonly string[]): number[] {
  let end = 0;
  return tokens.map((token) => end += token.length);
}

import type { StageCall, StageRecord } from "kelpspar-shared";
import type { CallChannel } from "./call_channel.ts";
import type { EndpointFaults } from "./endpoint_faults.ts";

/** A piece of a result at an offset in UTF-16 units. */
export interface ResultPiece {
  readonly offset: number;
  readonly text: string;
}

/** Writes a call's records, with the endpoint's faults applied. */
export class RecordWriter {
  readonly #call: StageCall;
  readonly #channel: CallChannel;
  readonly #faults: EndpointFaults;
  readonly #otherCall: () => StageCall | undefined;
  #delayedRecord: StageRecord | undefined;

  constructor(options: {
    readonly call: StageCall;
    readonly channel: CallChannel;
    readonly faults: EndpointFaults;
    /** A call whose records are mixed in; undefined if there is none. */
    readonly otherCall: () => StageCall | undefined;
  }) {
    this.#call = options.call;
    this.#channel = options.channel;
    this.#faults = options.faults;
    this.#otherCall = options.otherCall;
  }

  piece(piece: ResultPiece): void {
    this.#write({ type: "chunk", ...this.#ids(), ...piece });
  }

  end(length: number, runnerMilliseconds: number): void {
    this.#write({
      type: "end",
      ...this.#ids(),
      length,
      runnerMilliseconds,
      tokensIn: 0,
      tokensOut: 0,
    });
    this.close();
  }

  failure(
    started: boolean,
    reason: "failed" | "overloaded" | "leaving" | "unknown_attempt",
  ): void {
    this.#write({ type: "failure", ...this.#ids(), started, reason });
    this.close();
  }

  close(): void {
    this.#flush();
    this.#channel.close();
  }

  break(): void {
    this.#channel.break();
  }

  #write(record: StageRecord): void {
    if (this.#faults.mixesRecords) this.#writeForeignRecords(record);
    if (this.#faults.reordersRecords && this.#delayedRecord === undefined) {
      this.#delayedRecord = record;
      return;
    }
    this.#send(record);
    this.#flush();
  }

  #flush(): void {
    const record = this.#delayedRecord;
    this.#delayedRecord = undefined;
    if (record !== undefined) this.#send(record);
  }

  #send(record: StageRecord): void {
    const copies = this.#faults.duplicatesRecords ? 2 : 1;
    for (let index = 0; index < copies; index++) this.#channel.write([record]);
  }

  /**
   * Writes variants of a record that belong to another call and to an earlier
   * attempt of this call, with different text.
   */
  #writeForeignRecords(record: StageRecord): void {
    const { requestId, stageId, attemptId } = this.#otherCall() ?? this.#call;
    const text = record.type === "chunk"
      ? { text: record.text.replace(/\w/g, "x") }
      : {};
    this.#channel.write([
      { ...record, ...text, requestId, stageId, attemptId: `${attemptId}-x` },
      { ...record, ...text, attemptId: `${this.#call.attemptId}-earlier` },
    ]);
  }

  #ids(): Pick<StageCall, "requestId" | "stageId" | "attemptId"> {
    const { requestId, stageId, attemptId } = this.#call;
    return { requestId, stageId, attemptId };
  }
}

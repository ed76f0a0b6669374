import type { StageChunkRecord, StageRecord } from "kelpspar-shared";
import type { FaultScript } from "./fault_injector.ts";
import type { RecordWriter } from "./record_writer.ts";
import { happens } from "../faults/delay.ts";

const FOREIGN_ID_BYTES = 8;
const SHARE_OF_OTHER_REQUESTS = 0.5;

/**
 * Repeats chunk records, swaps them with the record after them, holds them
 * back and mixes in records of other attempts. The last record stays last.
 */
export class FaultyWriter implements RecordWriter {
  readonly #writer: RecordWriter;
  readonly #script: FaultScript;
  /** Comes after the next chunk. */
  #swapped: StageChunkRecord | undefined;
  /** Come just before the last record. */
  #late: StageChunkRecord[] = [];

  constructor(writer: RecordWriter, script: FaultScript) {
    this.#writer = writer;
    this.#script = script;
  }

  write(record: StageRecord): void {
    if (record.type === "chunk") return this.#writeChunk(record);
    this.#releaseSwapped();
    for (const late of this.#late) this.#writer.write(late);
    this.#late = [];
    this.#writer.write(record);
  }

  end(): void {
    this.#writer.end();
  }

  drop(): void {
    this.#writer.drop();
  }

  #writeChunk(record: StageChunkRecord): void {
    const { faults, random } = this.#script;
    if (happens(random, faults.lateShare)) {
      this.#late.push(record);
      return;
    }
    if (
      this.#swapped === undefined && happens(random, faults.reorderShare)
    ) {
      this.#swapped = record;
      return;
    }
    this.#writer.write(record);
    if (happens(random, faults.duplicateShare)) this.#writer.write(record);
    if (happens(random, faults.foreignShare)) {
      this.#writer.write(this.#toForeign(record));
    }
    this.#releaseSwapped();
  }

  #releaseSwapped(): void {
    const swapped = this.#swapped;
    this.#swapped = undefined;
    if (swapped !== undefined) this.#writer.write(swapped);
  }

  /**
   * A record as like the true one as can be, but for the text and the ids:
   * of another request, or of another attempt of the same one.
   */
  #toForeign(record: StageChunkRecord): StageChunkRecord {
    const { random } = this.#script;
    const otherId = random.nextHexadecimal(FOREIGN_ID_BYTES);
    const isOtherRequest = happens(random, SHARE_OF_OTHER_REQUESTS);
    return {
      ...record,
      requestId: isOtherRequest ? otherId : record.requestId,
      attemptId: otherId,
      text: "#".repeat(record.text.length),
    };
  }
}

import type { StageChunkRecord, StageRecord } from "kelpspar-shared";
import type { FaultInjector } from "./fault_injector.ts";
import type { RecordWriter } from "./record_writer.ts";
import { drawBoolean } from "../faults/delay.ts";

const FOREIGN_ID_BYTES = 8;
const OTHER_REQUEST_SHARE = 0.5;

/**
 * Duplicates, swaps and delays chunk records, and inserts records of other
 * attempts. The final record stays last.
 */
export class FaultyWriter implements RecordWriter {
  readonly #writer: RecordWriter;
  readonly #injector: FaultInjector;
  /** Held until the next chunk was written. */
  #swapped: StageChunkRecord | undefined;
  /** Held until just before the final record. */
  #late: StageChunkRecord[] = [];

  constructor(writer: RecordWriter, injector: FaultInjector) {
    this.#writer = writer;
    this.#injector = injector;
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
    const { faults, random } = this.#injector;
    if (drawBoolean(random, faults.lateShare)) {
      this.#late.push(record);
      return;
    }
    if (
      this.#swapped === undefined && drawBoolean(random, faults.reorderShare)
    ) {
      this.#swapped = record;
      return;
    }
    this.#writer.write(record);
    if (drawBoolean(random, faults.duplicateShare)) this.#writer.write(record);
    if (drawBoolean(random, faults.foreignShare)) {
      this.#writer.write(this.#createForeignRecord(record));
    }
    this.#releaseSwapped();
  }

  #releaseSwapped(): void {
    const swapped = this.#swapped;
    this.#swapped = undefined;
    if (swapped !== undefined) this.#writer.write(swapped);
  }

  /**
   * Copies a record with another text and the ids of another request, or of
   * another attempt of the same request.
   */
  #createForeignRecord(record: StageChunkRecord): StageChunkRecord {
    const { random } = this.#injector;
    const otherId = random.nextHexadecimal(FOREIGN_ID_BYTES);
    const isOtherRequest = drawBoolean(random, OTHER_REQUEST_SHARE);
    return {
      ...record,
      requestId: isOtherRequest ? otherId : record.requestId,
      attemptId: otherId,
      text: "#".repeat(record.text.length),
    };
  }
}

import type { StageRecord } from "kelpspar-shared";
import type { RecordWriter } from "../../endpoint/record_writer.ts";

/** Collects the records of one call. */
export class CollectingWriter implements RecordWriter {
  readonly records: StageRecord[] = [];
  ended = false;
  dropped = false;

  write(record: StageRecord): void {
    this.records.push(record);
  }

  end(): void {
    this.ended = true;
  }

  drop(): void {
    this.dropped = true;
  }

  get last(): StageRecord | undefined {
    return this.records.at(-1);
  }

  /** Whether all chunks start at `offset` or after it. */
  startsAtOrAfter(offset: number): boolean {
    return this.records.every((record) =>
      record.type !== "chunk" || record.offset >= offset
    );
  }

  /** Merges the chunks of one attempt into `text` by their offsets. */
  mergeChunks(text: string, attemptId: string): string {
    let whole = text;
    const chunks = this.records.filter((record) => record.type === "chunk")
      .filter((record) => record.attemptId === attemptId)
      .sort((left, right) => left.offset - right.offset);
    for (const { offset, text } of chunks) {
      if (offset > whole.length) return `${whole}[gap]`;
      whole = whole.slice(0, offset) + text + whole.slice(offset + text.length);
    }
    return whole;
  }
}

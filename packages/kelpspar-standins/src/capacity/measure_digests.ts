import type { Measurement, Subject } from "./measurement.ts";
import { peerDigestSchema } from "kelpspar-daemon";
import {
  digestInterval,
  estimateDigestBytes,
} from "kelpspar-decisions/membership";
import { countBytes, measureOperation } from "./measure.ts";
import { sampleDigest } from "./samples.ts";

const DEMAND_ROW_COUNTS = [0, 12, 50, 380, 3_800] as const;
/** Numbers of runners that each of 340 daemons publishes, out of 2,500. */
const PUBLISHED_RUNNER_COUNTS = [0, 8, 250] as const;
const TARGET_COUNT = 51;
const SENT_BYTES_PER_SECOND = 7_500;

/** Measures digest exchange by demand rows and by published runners. */
export function* measureDigests(): Generator<Measurement> {
  for (const size of DEMAND_ROW_COUNTS) {
    yield* measureDigest("rows of demand, 8 runners", {
      size,
      fill: { rows: size, endpoints: 8 },
    });
  }
  for (const size of PUBLISHED_RUNNER_COUNTS) {
    yield* measureDigest("runners told, no rows", {
      size,
      fill: { rows: 0, endpoints: size },
    });
  }
  const counts = { loads: 8, changedReports: 0, suspects: 0, accounts: 0 };
  yield {
    ...createSubject("estimateDigestBytes", "runners told, no rows", 8),
    messageBytes: estimateDigestBytes(counts),
  };
  yield {
    ...createSubject(
      "digestInterval for 7,500 B/s sent, ms",
      "targets",
      TARGET_COUNT,
    ),
    count: digestInterval(counts, {
      targets: TARGET_COUNT,
      bytesPerSecond: SENT_BYTES_PER_SECOND,
    }),
  };
}

function* measureDigest(unit: string, options: {
  readonly size: number;
  readonly fill: { readonly rows: number; readonly endpoints: number };
}): Generator<Measurement> {
  const { size, fill } = options;
  const digest = sampleDigest({ daemon: 1, sequence: 86_400, ...fill });
  const text = JSON.stringify(digest);
  yield {
    ...measureOperation(
      createSubject("encode", unit, size),
      () => JSON.stringify(digest),
    ),
    messageBytes: countBytes(digest),
  };
  yield measureOperation(
    createSubject("parse by peerDigestSchema", unit, size),
    () => peerDigestSchema.parse(JSON.parse(text)),
  );
}

function createSubject(name: string, unit: string, size: number): Subject {
  return { role: "digest exchange", name, unit, size };
}

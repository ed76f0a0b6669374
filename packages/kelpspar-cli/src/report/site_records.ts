import { z } from "zod";
import { statusSchema } from "../operator/answers.ts";

/** The version of the files that `--save` writes. */
export const RECORDS_VERSION = 1;
const MAX_TIME_MILLISECONDS = 8.64e15;

const amountSchema = z.number().nonnegative();
const countSchema = z.int().nonnegative();

/** The answer of `GET /v1/operator/histograms`. */
export const histogramsSchema = z.looseObject({
  histograms: z.array(z.object({
    name: z.string(),
    tags: z.object({
      account: z.string(),
      class: z.string(),
      stage: z.string().optional(),
    }),
    count: countSchema,
    mean: amountSchema,
    p50: amountSchema,
    p95: amountSchema,
    p99: amountSchema,
    maximum: amountSchema,
  })),
});

/** A histogram's figures, in the unit that its name states. */
export type HistogramRecord = z.infer<
  typeof histogramsSchema
>["histograms"][number];

/** The fields of `GET /v1/operator/accounts` that a report uses. */
export const accountTalliesSchema = z.looseObject({
  accounts: z.array(z.looseObject({
    id: z.string(),
    share: amountSchema,
    completed: countSchema,
    failed: countSchema,
    refused: countSchema,
  })),
});

const daemonRecordSchema = z.object({
  /** As `address:port`. */
  daemon: z.string(),
  status: statusSchema,
  accounts: accountTalliesSchema.shape.accounts,
  histograms: histogramsSchema.shape.histograms,
});

/** The answers of one daemon. */
export type DaemonRecord = z.infer<typeof daemonRecordSchema>;

/** The file that `--save` writes and `--records` reads. */
export const siteRecordsSchema = z.object({
  version: z.literal(RECORDS_VERSION),
  /** Milliseconds since 1970, by the clock of the VM that ran the command. */
  collectedAt: amountSchema.max(MAX_TIME_MILLISECONDS),
  daemons: z.array(daemonRecordSchema).min(1),
  /** Daemons that were queried and did not answer. */
  silentDaemons: z.array(z.object({
    daemon: z.string(),
    message: z.string(),
  })),
});

/** The unmerged figures of a site's daemons. */
export type SiteRecords = z.infer<typeof siteRecordsSchema>;

/** A daemon that did not answer, and the reason. */
export type SilentDaemon = SiteRecords["silentDaemons"][number];

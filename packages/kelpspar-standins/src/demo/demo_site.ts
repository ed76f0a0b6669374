import type { DemoRequest } from "./demo_request.ts";

/** A demonstration site: its processes and the requests sent to it. */
export interface DemoSite {
  readonly overlay: string;
  readonly administratorKey: string;
  readonly availabilityZones: readonly string[];
  readonly engines: number;
  /** Number of endpoints by plain service. */
  readonly services: Readonly<Record<string, number>>;
  readonly requests: readonly DemoRequest[];
}

const SOIL_REPORT = [
  "Soil report token=soil42 tokens=40: quarter section NW-14,",
  "pH 5.4, buffer pH 6.2, organic matter 3.1 percent, target pH 6.5.",
].join(" ");

/** Demonstration sites by their name on the command line. */
export const DEMO_SITES: Readonly<Record<string, DemoSite>> = {
  tillbrook: {
    overlay: "tillbrook.json",
    administratorKey: "release-administrator-key",
    availabilityZones: ["prairie-1", "prairie-2", "prairie-3"],
    engines: 8,
    services: { encoder: 3, retriever: 4, reranker: 3, booking: 3 },
    requests: [
      {
        title: "A soil report in, a spread plan out",
        callerKey: "tillbrook-cooperative-key",
        pipeline: "spread-plan",
        input: SOIL_REPORT,
        nonIdempotent: false,
      },
      {
        title: "A booking confirmation, sent twice under one key",
        callerKey: "tillbrook-spreaders-key",
        pipeline: "booking-confirmation",
        input: "Book token=order77 tokens=12: NW-14, 4 t/ha, 3 October",
        nonIdempotent: true,
        idempotencyKey: "order-77",
      },
    ],
  },
  amecc: {
    overlay: "amecc.json",
    administratorKey: "release-administrator-key",
    availabilityZones: ["centro-1", "centro-2", "centro-3"],
    engines: 6,
    services: { encoder: 3, retriever: 3, reranker: 4, "amendment-desk": 3 },
    requests: [
      {
        title: "A set of documents in, a discrepancy review out",
        callerKey: "amecc-exporters-key",
        pipeline: "discrepancy-review",
        input: "Review token=lc19 tokens=40: invoice and bill of lading differ",
        nonIdempotent: false,
      },
      {
        title: "An amendment request, sent twice under one key",
        callerKey: "amecc-exporters-key",
        pipeline: "amendment-request",
        input: "Amend token=lc20 tokens=12: latest shipment 30 November",
        nonIdempotent: true,
        idempotencyKey: "amendment-20",
      },
    ],
  },
};

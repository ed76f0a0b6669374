import type { CrashPage } from "../../quarantine/mod.ts";
import { expect } from "earl";
import fc from "fast-check";
import { test } from "node:test";
import {
  answerAge,
  CrashLedger,
  MAXIMUM_REPORTS,
  REPORT_LIFETIME_MILLISECONDS,
  SUSPECT_LIFETIME_MILLISECONDS,
} from "../../quarantine/mod.ts";

/** The fingerprint of a request depends on the parts of its prompt. */
const PARTS: Readonly<Record<string, readonly string[]>> = {
  a: ["p"],
  b: ["p", "q"],
  c: [],
};

const pages = fc.array(
  fc.record({
    reports: fc.array(
      fc.record({
        fingerprint: fc.constantFrom("a", "b", "c"),
        crash: fc.constantFrom("1", "2", "3", "4", "5"),
        ranMilliseconds: fc.constantFrom(undefined, 5, 90),
        wroteMilliseconds: fc.constantFrom(undefined, 5, 900, 1_100),
        waitedMilliseconds: fc.constantFrom(undefined, 5, 900),
        commonParts: fc.constantFrom([], ["p"], ["q"], ["p", "q"]),
        ageMilliseconds: fc.nat(1_000),
      }).map((report) => ({
        ...report,
        parts: PARTS[report.fingerprint] ?? [],
      })),
    ),
    served: fc.array(fc.record({
      fingerprint: fc.constantFrom("a", "b", "c"),
      ageMilliseconds: fc.nat(1_000),
    })),
    clearedCrashes: fc.subarray(["1", "2", "3", "4", "5"]),
    ongoing: fc.array(
      fc.record({
        fingerprint: fc.constantFrom("a", "b"),
        crash: fc.constantFrom("1", "2", "3", "4", "5"),
        wroteMilliseconds: fc.constantFrom(400, 900, 2_500),
      }, { noNullPrototype: true }),
      { maxLength: 3 },
    ),
  }).map(({ clearedCrashes, ongoing, ...page }) => ({
    ...page,
    // A page has a report that counts of each crash that parts are cleared of.
    cleared: page.reports
      .filter((report) => answerAge(report) !== undefined)
      .flatMap(({ crash, parts }) =>
        parts.flatMap((part) => [
          ...(clearedCrashes.includes(crash) ? [{ part, crash }] : []),
          ...ongoing.map((by) => ({ part, crash, by })),
        ])
      ),
  })),
);

function mergePages(pagesInOrder: readonly CrashPage[]): CrashLedger {
  const ledger = new CrashLedger();
  for (const page of pagesInOrder) ledger.merge(page, 2_000);
  return ledger;
}

/** All that a ledger holds, in an order that doesn't depend on its merges. */
function contentOf(ledger: CrashLedger): readonly string[] {
  const page = ledger.page(2_000);
  const { reports, served, cleared = [] } = page;
  return [
    ...[...reports, ...served, ...cleared].map((entry) =>
      JSON.stringify(Object.entries(entry).sort())
    ),
    ...ledger.poison,
    ...ledger.crashingParts.map((cause) => JSON.stringify(cause)),
  ].sort();
}

// Guards against daemons that quarantine different requests.
test("ledgers converge regardless of the order of reports", () => {
  fc.assert(fc.property(pages, (samplePages) => {
    const ledger = mergePages(samplePages);
    const reversed = mergePages([...samplePages].reverse());
    expect(reversed.checksum).toEqual(ledger.checksum);
    expect(contentOf(reversed)).toEqual(contentOf(ledger));
    expect(ledger.merge(reversed.page(2_000), 2_000)).toEqual(false);
  }));
});

// Guards against a daemon that ignores the reports of a full page.
test("an empty ledger merges all reports of a page", () => {
  const known = new CrashLedger();
  for (const crash of ["1", "2", "3"]) {
    known.report({ fingerprint: "p", crash, ranMilliseconds: 5 }, 100);
  }
  const fresh = new CrashLedger();
  expect(fresh.merge(known.page(150), 7_000)).toEqual(true);
  expect([...fresh.poison]).toEqual(["p"]);
  expect(fresh.page(7_000).reports[0]?.ageMilliseconds).toEqual(50);
});

// Guards against requests that stay in quarantine forever.
test("expired reports are dropped and not merged again", () => {
  const ledger = new CrashLedger();
  for (const crash of ["1", "2", "3"]) {
    ledger.report({ fingerprint: "p", crash, ranMilliseconds: 5 }, 0);
  }
  const page = ledger.page(REPORT_LIFETIME_MILLISECONDS);
  ledger.sweep(REPORT_LIFETIME_MILLISECONDS);
  expect(ledger.poison.size).toEqual(0);
  expect(ledger.checksum).toEqual(0);
  expect(ledger.merge(page, REPORT_LIFETIME_MILLISECONDS)).toEqual(false);
});

// Guards against a flood of other crashes that evicts a poison request.
test("a full ledger drops the oldest reports of non-poison requests", () => {
  const ledger = new CrashLedger();
  for (const crash of ["1", "2", "3"]) {
    ledger.report({ fingerprint: "p", crash, ranMilliseconds: 5 }, 0);
  }
  const reports = Array.from({ length: MAXIMUM_REPORTS + 50 }, (_, index) => ({
    fingerprint: `f${index}`,
    crash: "4",
    ranMilliseconds: undefined,
    ageMilliseconds: 0,
  }));
  ledger.merge({ reports, served: [] }, 10);
  expect([...ledger.poison]).toEqual(["p"]);
  expect(ledger.page(10).reports.length).toEqual(MAXIMUM_REPORTS);
});

interface CrashEntry {
  readonly fingerprint: string;
  readonly ageMilliseconds: number;
}

const POISON_REPORTS = ["1", "2", "3"].map((crash) => ({
  fingerprint: "p",
  crash,
  ranMilliseconds: 5,
  ageMilliseconds: 500,
}));

function entries(
  count: number,
  age: (index: number) => number,
): readonly CrashEntry[] {
  return Array.from({ length: count }, (_, index) => ({
    fingerprint: `f${index}`,
    ageMilliseconds: age(index),
  }));
}

function reportsOf(crashEntries: readonly CrashEntry[]): CrashPage {
  const reports = crashEntries.map((entry) => ({
    ...entry,
    crash: "4",
    ranMilliseconds: undefined,
  }));
  return { reports, served: [] };
}

const SAME_AGE = entries(MAXIMUM_REPORTS + 50, () => 7);
const AGED = entries(MAXIMUM_REPORTS + 50, (index) => index % 900);
const POISON_PAGE: CrashPage = { reports: POISON_REPORTS, served: [] };

const FULL_LEDGERS: Readonly<Record<string, readonly CrashPage[]>> = {
  "an old poison request": [POISON_PAGE, reportsOf(SAME_AGE)],
  "reports of the same age": [
    reportsOf(SAME_AGE),
    reportsOf([...SAME_AGE].reverse()),
  ],
  "too many served requests": [
    { reports: [], served: AGED },
    { reports: [], served: [...AGED].reverse() },
  ],
};

// Guards against full ledgers that each drop what the other one keeps: their
// daemons quarantine different requests and exchange all reports again and
// again.
for (const [name, samplePages] of Object.entries(FULL_LEDGERS)) {
  test(`full ledgers converge with ${name}`, () => {
    const ledger = mergePages(samplePages);
    const reversed = mergePages([...samplePages].reverse());
    expect(contentOf(reversed)).toEqual(contentOf(ledger));
    expect(ledger.merge(reversed.page(2_000), 2_000)).toEqual(false);
  });
}

function reportCrashes(ledger: CrashLedger, from: number, count: number): void {
  for (let number = 0; number < count; number++) {
    const at = from + number * 500;
    const crash = `at ${at}`;
    ledger.report({ fingerprint: "p", crash, ranMilliseconds: 5 }, at);
  }
}

// Guards against quarantining a frequent request during unrelated crashes.
test("a request that was served anywhere isn't blamed for crashes around it", () => {
  const ledger = new CrashLedger();
  reportCrashes(ledger, 1_000, 4);
  expect([...ledger.poison]).toEqual(["p"]);
  expect(ledger.markServed("p", 2_600)).toEqual(true);
  expect([...ledger.poison]).toEqual([]);
  // Crashes at 3 s to 5.5 s, at most 3 s after the request was served.
  reportCrashes(ledger, 3_000, 6);
  expect([...ledger.poison]).toEqual([]);
  expect(ledger.markServed("p", 5_600)).toEqual(false);
});

// Guards against a request that a new version of the endpoints crashes on.
test("a request that was served only long before its crashes is poison", () => {
  const ledger = new CrashLedger();
  reportCrashes(ledger, 1_000, 1);
  ledger.markServed("p", 2_000);
  reportCrashes(ledger, 60_000, 3);
  expect([...ledger.poison]).toEqual(["p"]);
});

// Guards against pages that grow with each crash of an hour.
test("reports that quarantine nothing are dropped after ten minutes", () => {
  const ledger = new CrashLedger();
  reportCrashes(ledger, 1_000, 3);
  const other = { fingerprint: "f", crash: "c", ranMilliseconds: 5 };
  ledger.report(other, 1_000);
  ledger.sweep(SUSPECT_LIFETIME_MILLISECONDS);
  expect(ledger.page(0).reports.length).toEqual(4);
  expect(ledger.sweep(SUSPECT_LIFETIME_MILLISECONDS + 1_000)).toEqual(true);
  expect(ledger.page(0).reports.map(({ fingerprint }) => fingerprint))
    .toEqual(["p", "p", "p"]);
});

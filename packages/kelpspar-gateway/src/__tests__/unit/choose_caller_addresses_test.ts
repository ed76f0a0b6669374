import type { DaemonAddress } from "../../fleet/fleet_digest.ts";
import { expect } from "earl";
import { SeededRandom } from "kelpspar-shared";
import { test } from "node:test";
import { chooseCallerAddresses } from "../../front/choose_caller_addresses.ts";

const NAMES = ["d1", "d2", "d3", "d4", "d5"];

function toAddress(daemonId: string): DaemonAddress {
  return {
    daemonId,
    front: daemonId,
    peer: `peer ${daemonId}`,
    zone: "a",
    cores: 1,
  };
}

function listed(isolated: readonly string[]): readonly string[] {
  const [self, ...others] = NAMES.map(toAddress);
  if (self === undefined) throw new Error("No daemon");
  return chooseCallerAddresses({
    self,
    others,
    leaving: [],
    isReady: true,
    coordinator: "d1",
    isIsolated: (daemonId) => isolated.includes(daemonId),
    random: new SeededRandom(1),
  }).addresses.toSorted();
}

// Guards against callers that are sent to daemons which reach no endpoint.
test("isolated daemons aren't listed for callers", () => {
  expect(listed(["d1", "d4"])).toEqual(["d2", "d3", "d5"]);
});

// Guards against all callers at the few daemons that are left.
test("isolated daemons are listed if they are the majority", () => {
  expect(listed(["d1", "d2", "d4"])).toEqual(NAMES);
});

function listedWhileLeaving(
  endsIn: readonly number[],
): { readonly addresses: readonly string[]; readonly isTemporary: boolean } {
  const [self, ...rest] = NAMES.map(toAddress);
  if (self === undefined) throw new Error("No daemon");
  const { addresses, isTemporary } = chooseCallerAddresses({
    self,
    others: [],
    leaving: [self, ...rest].slice(0, endsIn.length).map((address, index) => ({
      address,
      endsIn: endsIn[index] ?? 0,
    })),
    isReady: false,
    coordinator: undefined,
    isIsolated: () => false,
    random: new SeededRandom(1),
  });
  return { addresses: addresses.toSorted(), isTemporary };
}

// Guards against callers that are sent to daemons which are about to end while
// others stay for longer.
test("while all daemons leave, those that end last are listed", () => {
  expect(listedWhileLeaving([1_000, 3_000, 5_000, 5_500])).toEqual({
    addresses: ["d3", "d4"],
    isTemporary: true,
  });
});

// Guards against daemons that all end at the same moment, so that callers find
// nobody until they have started again.
test("of daemons that leave together, half are listed", () => {
  expect(listedWhileLeaving([5_000, 5_010, 5_000, 4_990, 5_000])).toEqual({
    addresses: ["d3", "d4", "d5"],
    isTemporary: true,
  });
});

// Guards against an empty directory, which callers take for a failure.
test("a daemon that knows no other lists itself", () => {
  expect(listedWhileLeaving([])).toEqual({
    addresses: ["d1"],
    isTemporary: false,
  });
});

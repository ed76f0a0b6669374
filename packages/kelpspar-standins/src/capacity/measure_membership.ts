import type { Measurement, Subject } from "./measurement.ts";
import { buildAddressAnswer } from "kelpspar-decisions/directory";
import { DaemonMembership } from "kelpspar-decisions/membership";
import { assignWatches } from "kelpspar-decisions/routing";
import { SeededRandom } from "kelpspar-shared";
import { countBytes, measureOperation, measureState } from "./measure.ts";
import {
  nameOf,
  sampleDaemons,
  sampleDigest,
  sampleEndpoints,
  zoneOf,
} from "./samples.ts";

const DAEMON_COUNTS = [2, 8, 34, 340] as const;
const RUNNERS_PER_DAEMON = 7.35;
const SEED = 1;

/** Measures membership, watch assignment and directory by number of daemons. */
export function* measureMembership(): Generator<Measurement> {
  for (const size of DAEMON_COUNTS) yield* measureSize(size);
}

function* measureSize(size: number): Generator<Measurement> {
  const subject = (role: string, name: string): Subject => ({
    role,
    name,
    unit: "daemons",
    size,
  });
  const membership = createMembership(size);
  const digests = sampleDaemons(size).map((_, daemon) =>
    createMember(daemon, 1)
  );
  yield measureState(
    subject("membership", "members with digests"),
    () => createMembership(size),
  );
  yield measureOperation(subject("membership", "heard"), (index) => {
    const daemon = 1 + index % (size - 1);
    const digest = digests[daemon];
    if (digest !== undefined) {
      membership.receiveDigest({ ...digest, sequence: index + 2 }, 0);
    }
  });
  yield measureOperation(
    subject("membership", "sweep"),
    () => membership.sweep(0),
  );
  yield measureOperation(
    subject("membership", "digestTargets"),
    () => membership.digestTargets(),
  );
  yield {
    ...subject("membership", "digestTargets, how many"),
    count: membership.digestTargets().length,
  };
  yield* measureWatches(size, subject);
  yield* measureDirectory(membership, subject);
}

function* measureWatches(
  size: number,
  subject: (role: string, name: string) => Subject,
): Generator<Measurement> {
  const [self, ...others] = sampleDaemons(size).map((row) => ({
    id: row.daemonId,
    availabilityZone: row.availabilityZone,
  }));
  if (self === undefined) return;
  const endpoints = sampleEndpoints(Math.round(size * RUNNERS_PER_DAEMON))
    .map(({ address }) => ({
      id: address.endpointId,
      availabilityZone: address.availabilityZone,
    }));
  const options = { self, others, endpoints };
  yield measureOperation(
    subject("runner watcher", "assignWatches"),
    () => assignWatches(options),
  );
  yield {
    ...subject("runner watcher", "assignWatches, runners watched"),
    count: assignWatches(options).length,
  };
}

function* measureDirectory(
  membership: DaemonMembership,
  subject: (role: string, name: string) => Subject,
): Generator<Measurement> {
  const options = {
    members: membership.members,
    availabilityZone: zoneOf(0),
    keepMilliseconds: 5_000,
    random: new SeededRandom(SEED),
  };
  yield {
    ...measureOperation(
      subject("directory", "answerAddresses"),
      () => buildAddressAnswer(options),
    ),
    messageBytes: countBytes(buildAddressAnswer(options)),
  };
}

function createMembership(size: number): DaemonMembership {
  const membership = new DaemonMembership({
    daemonId: nameOf("daemon", 0),
    availabilityZone: zoneOf(0),
  });
  membership.replaceList(sampleDaemons(size), 0);
  for (let daemon = 1; daemon < size; daemon++) {
    membership.receiveDigest(createMember(daemon, 1), 0);
  }
  return membership;
}

function createMember(
  daemon: number,
  sequence: number,
): ReturnType<typeof sampleDigest>["member"] {
  return sampleDigest({ daemon, sequence, rows: 0, endpoints: 8 }).member;
}

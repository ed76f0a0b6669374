import type { Member } from "kelpspar-decisions/membership";
import type { AddressAnswer } from "kelpspar-shared";
import type { Drains } from "../operators/drains.ts";
import type { PeerAddress } from "../peers/peer_client.ts";
import type { PeerDigest } from "../peers/peer_digest.ts";
import type { FleetOptions } from "./fleet_options.ts";
import {
  buildAddressAnswer,
  redirectCaller,
} from "kelpspar-decisions/directory";
import { applyNewerDrains } from "../operators/apply_newer_drains.ts";
import { DaemonMembership } from "kelpspar-decisions/membership";

/** Consecutive missed digests after which a daemon is suspect. */
const MISSED_DIGESTS_UNTIL_SUSPECT = 4;

/** This daemon's membership view of the fleet, and the digest it publishes. */
export class Fleet {
  readonly #options: FleetOptions;
  readonly #membership: DaemonMembership;
  /** Daemon incarnations whose VM refused the last connection. */
  readonly #refusedIncarnations = new Set<string>();
  #sequence = 0;
  #digest: PeerDigest | undefined;

  constructor(options: FleetOptions) {
    this.#options = options;
    this.#membership = new DaemonMembership({
      daemonId: options.daemonId,
      availabilityZone: options.availabilityZone,
      suspectAfterMilliseconds: MISSED_DIGESTS_UNTIL_SUSPECT *
        options.digestMilliseconds,
    });
  }

  /** The port that callers and daemons connect to. */
  get port(): number {
    return this.#options.port();
  }

  get members(): readonly Member[] {
    return this.#membership.members;
  }

  /** Number of daemons that may run requests, this one included. */
  get liveDaemons(): number {
    return 1 +
      this.members.filter((member) =>
        member.state === "live" && !this.#hasRefusedConnection(member)
      ).length;
  }

  /** The ids of the live daemons that serve, this one included if it does. */
  liveDaemonIds(): readonly string[] {
    const others = this.#servingMembers().filter((member) =>
      member.state === "live"
    );
    const ids = others.map((member) => member.daemonId);
    return this.isServing() ? [this.#options.daemonId, ...ids] : ids;
  }

  /** The members to send digests to. */
  targets(): readonly Member[] {
    return this.#membership.digestTargets();
  }

  /** Updates the membership from the VM list. */
  updateVmList(): void {
    const { state, timer } = this.#options;
    const rows = state.read().vms.filter((vm) => vm.kind === "daemon");
    this.#membership.replaceList(
      rows.map((vm) => ({ ...vm, daemonId: vm.id })),
      timer.now(),
    );
  }

  /** Updates the state of members that have been silent for too long. */
  checkSilence(): void {
    this.#membership.sweep(this.#options.timer.now());
  }

  /**
   * Notes that a daemon's VM refused the connection, so its process is gone.
   * Otherwise its share of every service would stay unused, and callers would
   * be redirected to it, until its silence made it suspect.
   */
  refused(peer: PeerAddress): void {
    const member = this.members.find((candidate) =>
      candidate.address === peer.address && candidate.port === peer.port
    );
    if (member?.digest === undefined) return;
    this.#refusedIncarnations.add(member.digest.incarnation);
    this.#options.parts.fleet.remove(member.digest.incarnation);
  }

  /** Applies a digest received from a peer. */
  receiveDigest(digest: PeerDigest): void {
    const { parts, endpointMonitor, timer } = this.#options;
    const now = timer.now();
    applyNewerDrains(this.#options.state, digest);
    this.#refusedIncarnations.delete(digest.member.incarnation);
    if (!this.#membership.receiveDigest(digest.member, now)) return;
    if (digest.member.state === "leaving") {
      parts.fleet.remove(digest.member.incarnation);
    } else {
      for (const demand of digest.demands) parts.fleet.accept(demand, now);
    }
    endpointMonitor.applyPeerLoads(digest.member);
  }

  /** The digest of this interval, the same for every peer. */
  get digest(): PeerDigest {
    this.#digest ??= this.#createDigest();
    return this.#digest;
  }

  /** Discards the digest, so that the next read creates a new one. */
  discardDigest(): void {
    this.#digest = undefined;
  }

  #createDigest(): PeerDigest {
    const options = this.#options;
    const { daemonId, incarnation, address, availabilityZone } = options;
    const sequence = ++this.#sequence;
    const { isLeaving, drains, takenOut } = options.state.read();
    return {
      member: {
        daemonId,
        incarnation,
        sequence,
        address,
        port: options.port(),
        peerPort: options.port(),
        availabilityZone,
        state: isLeaving ? "leaving" : "serving",
        keyEpoch: options.keyEpoch(),
        revision: options.revision(),
        spareShare: options.spareShare(),
        ...options.endpointMonitor.createLoadDigest(),
        usage: { accountIds: [], costs: [] },
      },
      drains: copyDrains(drains),
      takenOut: copyDrains(takenOut),
      demands: [{
        scope: "daemon",
        incarnation,
        sequence,
        availabilityZone,
        daemons: 1,
        services: options.scheduler.demands().map((service) => ({
          ...service,
          accounts: [...service.accounts],
        })),
      }],
    };
  }

  /** The daemons that a caller may use. */
  addresses(availabilityZone: string | undefined): AddressAnswer {
    const options = this.#options;
    const { address, incarnation } = options;
    const self = {
      address,
      port: options.port(),
      availabilityZone: options.availabilityZone,
      incarnation,
      keyEpoch: options.keyEpoch(),
      spareShare: options.spareShare(),
    };
    return buildAddressAnswer({
      ...(this.isServing() && options.revision() > 0 ? { self } : {}),
      members: this.#servingMembers(),
      availabilityZone: availabilityZone ?? options.availabilityZone,
      keepMilliseconds: options.addressKeepMilliseconds(),
      random: options.random,
    });
  }

  /** Other daemons to redirect a caller to that cannot be served here. */
  elsewhere(): readonly string[] {
    return redirectCaller({
      members: this.#servingMembers(),
      availabilityZone: this.#options.availabilityZone,
      random: this.#options.random,
    }).elsewhere;
  }

  /** False while the daemon is stopping or drained by an operator. */
  isServing(): boolean {
    if (this.#options.state.read().isLeaving) return false;
    return !this.#isDrained(this.#options.daemonId);
  }

  /** The address of a daemon incarnation; undefined when it is gone. */
  findAddress(incarnation: string): PeerAddress | undefined {
    const member = this.members.find((candidate) =>
      candidate.digest?.incarnation === incarnation &&
      candidate.state !== "gone"
    );
    return member?.digest;
  }

  #servingMembers(): readonly Member[] {
    return this.members.filter((member) =>
      !this.#isDrained(member.daemonId) &&
      !this.#hasRefusedConnection(member) && hasConfiguration(member)
    );
  }

  #hasRefusedConnection(member: Member): boolean {
    return this.#refusedIncarnations.has(member.digest?.incarnation ?? "");
  }

  /** A drain applies to one VM incarnation; its replacement VM serves. */
  #isDrained(daemonId: string): boolean {
    const { drains, vms } = this.#options.state.read();
    const drainedIncarnation = drains.daemons[daemonId];
    if (drainedIncarnation === undefined) return false;
    const vm = vms.find((row) => row.kind === "daemon" && row.id === daemonId);
    return vm === undefined || vm.incarnation === drainedIncarnation;
  }
}

/** A daemon that has just started is listed before it can serve. */
function hasConfiguration(member: Member): boolean {
  return (member.digest?.revision ?? 0) > 0;
}

function copyDrains(drains: Drains): PeerDigest["drains"] {
  const { version, endpoints, daemons } = drains;
  return { version, endpoints: { ...endpoints }, daemons: { ...daemons } };
}

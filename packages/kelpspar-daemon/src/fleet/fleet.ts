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
import { takeDrains } from "../operators/apply_newer_drains.ts";
import { DaemonMembership } from "kelpspar-decisions/membership";

/** So many digests missed in a row make a daemon suspect. */
const DIGESTS_UNTIL_SUSPECT = 4;

/** This daemon among the others: whom it knows, and what it tells them. */
export class Fleet {
  readonly #options: FleetOptions;
  readonly #membership: DaemonMembership;
  /** Incarnations whose VM refused the last connection. */
  readonly #refused = new Set<string>();
  #sequence = 0;
  #digest: PeerDigest | undefined;

  constructor(options: FleetOptions) {
    this.#options = options;
    this.#membership = new DaemonMembership({
      daemonId: options.daemonId,
      availabilityZone: options.availabilityZone,
      suspectAfterMilliseconds: DIGESTS_UNTIL_SUSPECT *
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

  /** Daemons that may run requests, this one included. */
  get liveDaemons(): number {
    return 1 +
      this.members.filter((one) =>
        one.state === "live" && !this.#isRefused(one)
      ).length;
  }

  /** The ids of the daemons that work, this one included if it does. */
  liveDaemonIds(): readonly string[] {
    const others = this.#servingMembers().filter((one) => one.state === "live");
    const ids = others.map((one) => one.daemonId);
    return this.isServing() ? [this.#options.daemonId, ...ids] : ids;
  }

  /** Whom to send digests to. */
  targets(): readonly Member[] {
    return this.#membership.digestTargets();
  }

  /** Takes in the VM list. */
  replaceList(): void {
    const { state, timer } = this.#options;
    const rows = state.read().vms.filter((vm) => vm.kind === "daemon");
    this.#membership.replaceList(
      rows.map((vm) => ({ ...vm, daemonId: vm.id })),
      timer.now(),
    );
  }

  /** Judges silence. */
  sweep(): void {
    this.#membership.sweep(this.#options.timer.now());
  }

  /**
   * Notes that a daemon's VM refused the connection: its process is gone. What
   * goes wrong without it: its part of every service stays unused, and callers
   * are sent to it, until it was silent for long enough to be suspect.
   */
  refused(peer: PeerAddress): void {
    const member = this.members.find((one) =>
      one.address === peer.address && one.port === peer.port
    );
    if (member?.digest === undefined) return;
    this.#refused.add(member.digest.incarnation);
    this.#options.parts.fleet.remove(member.digest.incarnation);
  }

  /** Takes in a digest. */
  heard(digest: PeerDigest): void {
    const { parts, watch, timer } = this.#options;
    const now = timer.now();
    takeDrains(this.#options.state, digest);
    this.#refused.delete(digest.member.incarnation);
    if (!this.#membership.receiveDigest(digest.member, now)) return;
    if (digest.member.state === "leaving") {
      parts.fleet.remove(digest.member.incarnation);
    } else {
      for (const demand of digest.demands) parts.fleet.accept(demand, now);
    }
    watch.applyPeerLoads(digest.member);
  }

  /** The digest of this interval; every peer gets the same one. */
  get digest(): PeerDigest {
    this.#digest ??= this.#createDigest();
    return this.#digest;
  }

  /** Begins another interval: the next digest is made anew. */
  renewDigest(): void {
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
        ...options.watch.createLoadDigest(),
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

  /** Which daemons a caller may use. */
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

  /** Other daemons for a caller that cannot be served here. */
  elsewhere(): readonly string[] {
    return redirectCaller({
      members: this.#servingMembers(),
      availabilityZone: this.#options.availabilityZone,
      random: this.#options.random,
    }).elsewhere;
  }

  /** False once the daemon is stopping, or while operators drain it. */
  isServing(): boolean {
    if (this.#options.state.read().isLeaving) return false;
    return !this.#isDrained(this.#options.daemonId);
  }

  /** Where the daemon of an incarnation is; undefined when it is gone. */
  findIncarnation(incarnation: string): PeerAddress | undefined {
    const member = this.members.find((one) =>
      one.digest?.incarnation === incarnation && one.state !== "gone"
    );
    return member?.digest;
  }

  #servingMembers(): readonly Member[] {
    return this.members.filter((one) =>
      !this.#isDrained(one.daemonId) && !this.#isRefused(one) &&
      hasConfiguration(one)
    );
  }

  #isRefused(member: Member): boolean {
    return this.#refused.has(member.digest?.incarnation ?? "");
  }

  /** A drain is meant for one VM; the one that takes its place serves. */
  #isDrained(daemonId: string): boolean {
    const { drains, vms } = this.#options.state.read();
    const drained = drains.daemons[daemonId];
    if (drained === undefined) return false;
    const vm = vms.find((row) => row.kind === "daemon" && row.id === daemonId);
    return vm === undefined || vm.incarnation === drained;
  }
}

/** A daemon that just started is there before it can serve. */
function hasConfiguration(member: Member): boolean {
  return (member.digest?.revision ?? 0) > 0;
}

function copyDrains(drains: Drains): PeerDigest["drains"] {
  const { version, endpoints, daemons } = drains;
  return { version, endpoints: { ...endpoints }, daemons: { ...daemons } };
}

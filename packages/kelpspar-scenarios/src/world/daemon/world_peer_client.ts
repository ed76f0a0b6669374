import type {
  ClaimInquiry,
  PeerAddress,
  PeerClient,
  PeerDigest,
  PeerHandlers,
} from "kelpspar-daemon";
import type { Network } from "../network/network.ts";
import type { DaemonProcess } from "./daemon_process.ts";
import { KelpsparError } from "kelpspar-shared";
import { exchange } from "../network/exchange.ts";

const TIMEOUT_MILLISECONDS = 400;

/** A daemon that is reachable by its peers. */
export interface ReachablePeer {
  readonly daemonId: string;
  readonly process: DaemonProcess;
  readonly handlers: PeerHandlers;
}

/** Parameters of a `WorldPeerClient`. */
export interface WorldPeerClientOptions {
  readonly network: Network;
  readonly process: DaemonProcess;
  readonly daemonId: string;
  /** The daemon that listens on an address; undefined if there is none. */
  readonly find: (peer: PeerAddress) => ReachablePeer | undefined;
}

/** Calls the handlers of other daemons over the simulated network. */
export class WorldPeerClient implements PeerClient {
  readonly #options: WorldPeerClientOptions;

  constructor(options: WorldPeerClientOptions) {
    this.#options = options;
  }

  exchange(peer: PeerAddress, digest: PeerDigest): Promise<PeerDigest> {
    return this.#call(peer, ({ exchange }) => exchange(digest));
  }

  configuration(
    peer: PeerAddress,
  ): ReturnType<PeerClient["configuration"]> {
    return this.#call(peer, ({ configuration }) => configuration());
  }

  askClaim(
    peer: PeerAddress,
    inquiry: ClaimInquiry,
  ): ReturnType<PeerClient["askClaim"]> {
    return this.#call(peer, ({ askClaim }) => askClaim(inquiry));
  }

  #call<Answer>(
    peer: PeerAddress,
    invoke: (handlers: PeerHandlers) => Answer,
  ): Promise<Answer> {
    const { network, process, daemonId } = this.#options;
    const createNoAnswerError = (): Error =>
      new KelpsparError(
        "peer_unavailable",
        `Daemon ${peer.address}:${peer.port} did not answer`,
      );
    const target = this.#options.find(peer);
    if (target === undefined) return Promise.reject(createNoAnswerError());
    return exchange({
      network,
      process,
      from: daemonId,
      to: target.daemonId,
      timeoutMilliseconds: TIMEOUT_MILLISECONDS,
      createNoAnswerError,
      handleRequest: async () => {
        await target.process.whenRunning();
        return structuredClone(invoke(target.handlers));
      },
    });
  }
}

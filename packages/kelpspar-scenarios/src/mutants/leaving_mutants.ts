import type { Mutant } from "./mutant.ts";
import { withEndpoints, withRecords } from "./with_endpoints.ts";

const NO_DRAINS = { version: 0, endpoints: {}, daemons: {} } as const;

/** Mutants of the invariant that a leaving endpoint receives no new work. */
export const LEAVING_MUTANTS: readonly Mutant[] = [
  {
    name: "list_not_believed",
    removes: "The VM list's word that a VM is leaving counts",
    mutation: {
      ports: (ports) => ({
        ...ports,
        vmList: {
          list: async () => {
            const answer = await ports.vmList.list();
            const vms = answer.vms.map((vm) =>
              ({ ...vm, state: "live" }) as const
            );
            return { ...answer, vms };
          },
        },
      }),
    },
    noticedBy: "leaving_endpoints: the VM list shows that engine-1 is leaving",
  },
  {
    name: "list_may_take_back",
    removes: "A list that shows a leaving VM as live again changes nothing",
    mutation: {
      ports: (ports) => ({
        ...ports,
        vmList: {
          list: async () => {
            const answer = await ports.vmList.list();
            const vms = answer.vms.map((vm) => ({
              ...vm,
              incarnation: `${vm.incarnation}-${vm.state}-${answer.sequence}`,
            }));
            return { ...answer, vms };
          },
        },
      }),
    },
    noticedBy: "leaving_endpoints: the list goes back on what it said",
  },
  {
    name: "marks_outlast_the_vm",
    removes: "A new VM under the same address begins without marks",
    mutation: {
      ports: (ports) => ({
        ...ports,
        vmList: {
          list: async () => {
            const answer = await ports.vmList.list();
            const vms = answer.vms.map((vm) => ({ ...vm, incarnation: vm.id }));
            return { ...answer, vms };
          },
        },
      }),
    },
    noticedBy: "leaving_endpoints: a new VM takes the place of one that left",
  },
  {
    name: "report_not_believed",
    removes: "An endpoint's own report that it is leaving counts",
    mutation: withEndpoints({
      load: (report) => ({ ...report, state: "ready" }),
    }),
    noticedBy: "leaving_endpoints: engine-1 reports that it is leaving",
  },
  {
    name: "leaving_record_not_believed",
    removes: "A call that is refused because the endpoint leaves counts",
    mutation: withRecords((record) =>
      record.type === "failure" && record.reason === "leaving"
        ? { ...record, reason: "overloaded" }
        : record
    ),
    noticedBy: "leaving_endpoints: engine-1 answers calls that it is leaving",
  },
  {
    name: "drains_not_read",
    removes: "Operators' drains are read from the store by every daemon",
    mutation: {
      core: ({ drains }) => {
        drains.parse = () => NO_DRAINS;
      },
    },
    noticedBy:
      "leaving_endpoints: an operator drains an endpoint at a daemon that its peers do not hear",
  },
  {
    name: "peers_pass_no_drains",
    removes: "Daemons pass operators' drains to one another",
    mutation: {
      ports: (ports) => ({
        ...ports,
        peers: {
          exchange: async (peer, digest) => ({
            ...await ports.peers.exchange(peer, {
              ...digest,
              drains: NO_DRAINS,
            }),
            drains: NO_DRAINS,
          }),
          configuration: (peer) => ports.peers.configuration(peer),
          askClaim: (peer, inquiry) => ports.peers.askClaim(peer, inquiry),
        },
      }),
    },
    noticedBy:
      "leaving_endpoints: the store goes down once an operator has drained an endpoint",
  },
];

import { expect } from "earl";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import {
  findFreePorts,
  firstPortOffset,
  parsePortRange,
} from "../../wire/free_ports.ts";

test("allocates no port twice", async () => {
  // A port looks free until its process listens. If a daemon that is still
  // starting shares a port with the next one, it fails to start, and callers get
  // directory responses without addresses from a server of the other daemon.
  const found: number[] = [];
  for (let call = 0; call < 400; call++) found.push(...await findFreePorts(5));
  expect(new Set(found).size).toEqual(found.length);
});

// Guards against ports that an outgoing connection takes before they are used.
test("allocates ports below those that the system assigns to connections", async () => {
  const range = readFileSync("/proc/sys/net/ipv4/ip_local_port_range", "utf8");
  const firstAssigned = Number(range.trim().split(/\s+/)[0]);
  const ports = await findFreePorts(50);
  expect(Math.max(...ports) < firstAssigned).toEqual(true);
});

// Guards against daemons that start again at a port that another site has taken.
test("processes with successive ids don't use each other's ports", () => {
  const portsOfSite = 300;
  for (let distance = 1; distance <= 20; distance++) {
    const offset = firstPortOffset(distance) - firstPortOffset(0);
    expect(offset).toBeGreaterThanOrEqual(portsOfSite);
  }
});

// Guards against sites beside each other that take over each other's ports.
test("a range of ports can be set", () => {
  expect(parsePortRange("14000-17999")).toEqual({
    firstPort: 14_000,
    count: 4_000,
  });
  for (const text of ["14000", "17999-14000", "a-b"]) {
    expect(() => parsePortRange(text)).toThrow(TypeError);
  }
});

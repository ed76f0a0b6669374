import type { QueueRequest } from "../../fairness/mod.ts";
import { test } from "node:test";
import { expect } from "earl";
import fc from "fast-check";
import { SeededRandom } from "kelpspar-shared";
import { FairQueue, SMALLEST_WEIGHT } from "../../fairness/mod.ts";

const TOTAL_BYTES = 11 * 1_024;
const BOUNDS = {
  maximumRequests: 4,
  maximumBytes: 30,
  maximumWaitMilliseconds: 200,
};

type Entry = QueueRequest<number> & { ticket: number; latest: number };

/**
 * Reference implementation over plain lists: searches for the smallest virtual
 * time.
 */
class NaiveQueue {
  readonly accounts = new Map<string, { time: number; weight: number }>();
  entries: Entry[] = [];
  expired: number[] = [];
  #weights = new Map<string, number>();
  #time = 0;
  #last = "";
  #tickets = 1;

  of(id: string): Entry[] {
    return this.entries.filter((entry) => entry.accountId === id);
  }

  open(id: string): { time: number; weight: number } {
    const weight = this.#weights.get(id) ?? SMALLEST_WEIGHT;
    const account = this.accounts.get(id) ?? { time: this.#level(), weight };
    this.accounts.set(id, account);
    return account;
  }

  enqueue(request: QueueRequest<number>, now: number): boolean {
    const mine = this.of(request.accountId);
    const bytes = mine.reduce((sum, one) => sum + one.bytes, request.bytes);
    const total = this.entries.reduce((sum, one) => sum + one.bytes + 1_024, 0);
    if (mine.length >= 4 || bytes > 30) return false;
    if (bytes + (mine.length + 1) * 1_024 > TOTAL_BYTES - total) return false;
    const account = this.open(request.accountId);
    if (mine.length === 0) {
      this.#time = this.#level();
      account.time = Math.max(account.time, this.#time);
    }
    const latest = Math.min(request.deadlineAt - 5, now + 200);
    this.entries.push({ ...request, ticket: this.#tickets++, latest });
    return true;
  }

  take(entry: Entry): void {
    this.entries = this.entries.filter((other) => other !== entry);
    if (this.of(entry.accountId).length === 0) this.#last = entry.accountId;
  }

  expire(now: number): void {
    const due = this.entries.filter((one) => one.latest <= now);
    for (const entry of due.sort((one, two) => one.latest - two.latest)) {
      this.take(entry);
      this.expired.push(entry.ticket);
    }
  }

  dequeue(now: number): number | undefined {
    this.expire(now);
    const [id] = this.#waiting().sort((one, other) =>
      this.open(one).time - this.open(other).time
    );
    const [entry] = this.of(id ?? "").sort((one, other) =>
      one.priority - other.priority || one.deadlineAt - other.deadlineAt ||
      one.ticket - other.ticket
    );
    if (entry === undefined || id === undefined) return undefined;
    const account = this.open(id);
    this.#time = Math.max(this.#time, account.time);
    account.time += Math.max(1, entry.estimatedCost) / account.weight;
    this.take(entry);
    return entry.ticket;
  }

  setShares(shares: Map<string, number>): void {
    const sum = [...shares.values()].reduce((one, other) => one + other, 0);
    const scale = (share: number) => Math.max(SMALLEST_WEIGHT, share / sum);
    this.#weights = new Map([...shares].map(([id, one]) => [id, scale(one)]));
    this.#time = this.#level();
    for (const [id, account] of [...this.accounts]) {
      const weight = this.#weights.get(id) ?? SMALLEST_WEIGHT;
      const lead = account.time - this.#time;
      account.time = this.#time + lead * account.weight / weight;
      account.weight = weight;
      const isIdle = this.of(id).length === 0 && account.time <= this.#time;
      if (isIdle && id !== this.#last) this.accounts.delete(id);
    }
  }

  #waiting(): string[] {
    return [...this.accounts.keys()].filter((id) => this.of(id).length > 0);
  }

  #level(): number {
    const ids = this.#waiting();
    if (ids.length === 0) ids.push(this.#last);
    const times = ids.map((id) => this.accounts.get(id)?.time ?? 0);
    return Math.max(this.#time, Math.min(...times));
  }
}

const step = fc.record({
  action: fc.constantFrom("in", "in", "in", "out", "out", "cut", "fix", "set"),
  accountId: fc.constantFrom("a", "b", "c", "d"),
  priority: fc.integer({ min: 0, max: 2 }),
  number: fc.integer({ min: 1, max: 40 }),
  wait: fc.integer({ min: 0, max: 20 }),
});

test("the queue behaves like the reference implementation", () => {
  fc.assert(
    fc.property(fc.array(step, { minLength: 20, maxLength: 150 }), (steps) => {
      const random = new SeededRandom(1);
      const limits = { boundsOf: () => BOUNDS, maximumTotalBytes: TOTAL_BYTES };
      const queue = new FairQueue<number>({ random, ...limits });
      queue.setConcurrency(Number.MAX_VALUE); // No wait is long.
      const naive = new NaiveQueue();
      let now = 0;
      for (const { action, accountId, priority, number, wait } of steps) {
        now += wait;
        if (action === "in") {
          const request = {
            accountId,
            priority,
            deadlineAt: now + 10 * number,
            minimumRemainingMilliseconds: 5,
            estimatedCost: number < 15 ? 0 : number,
            bytes: number >> 2,
            item: 0,
          };
          const { queued } = queue.enqueue(request, now);
          expect(queued).toEqual(naive.enqueue(request, now));
        } else if (action === "out") {
          expect(queue.dequeue(now)?.ticket).toEqual(naive.dequeue(now));
        } else if (action === "cut") {
          const entry = naive.entries.find((one) => one.ticket === number);
          expect(queue.remove(number)).toEqual(entry !== undefined);
          if (entry !== undefined) naive.take(entry);
        } else if (action === "fix") {
          const difference = number > 20 ? number : number - 25;
          queue.charge(accountId, difference);
          const account = naive.open(accountId);
          account.time += difference / account.weight;
        } else {
          const shares = new Map([["a", number], ["b", 40 - number], ["c", 7]]);
          queue.setShares(shares);
          naive.setShares(shares);
        }
        expect(queue.size).toEqual(naive.entries.length);
      }
      naive.expire(now);
      const expired = queue.takeExpired(now).map((one) => one.ticket);
      expect(expired.sort()).toEqual(naive.expired.sort());
    }),
    { numRuns: 400, seed: 1 },
  );
});

test("the estimated wait matches fluid fair queueing", () => {
  const queue = new FairQueue<string>({ random: new SeededRandom(1) });
  queue.setShares(new Map([["a", 3], ["b", 1]]));
  queue.setConcurrency(2);
  const rest = { priority: 5, deadlineAt: 1e6, bytes: 1, item: "" };
  const enqueue = (accountId: string, estimatedCost = 10) =>
    queue.enqueue({ ...rest, accountId, estimatedCost }, 0);
  for (let call = 0; call < 80; call++) enqueue(call % 2 === 0 ? "a" : "b");
  // 400 runner-milliseconds are queued; a gets 3/4 of the 2 processed per
  // millisecond.
  expect(queue.estimateWait("a", 5)).toEqual(400 / 1.5);
  expect(queue.estimateWait("a", 4)).toEqual(0);
  expect(queue.estimateWait("b", 9)).toEqual(400 / 0.5);
  // The first call waits for a slot: mean cost 1 so far, 2 slots.
  queue.dequeue(0);
  expect(queue.estimateWait("nobody", 5)).toEqual(0.5);
  // A call beyond the maximum wait is refused.
  queue.setConcurrency(0);
  expect(enqueue("b", 10_000).queued).toEqual(true);
  const refused = enqueue("b");
  const wait = refused.queued ? 0 : refused.retryAfterMilliseconds;
  expect(wait >= 15_000 && wait <= 45_000).toEqual(true);
});

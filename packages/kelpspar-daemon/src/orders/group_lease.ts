import type {
  FoundLease,
  LeaseAction,
  LeaseEvent,
  LeaseState,
} from "kelpspar-decisions/leases";
import type { TableRow, TableService } from "kelpspar-backends";
import type { TimerService } from "kelpspar-shared";
import {
  advanceLease,
  fencingNumberForOrder,
  LEASES_TABLE,
  parseLeaseRow,
  watchLease,
} from "kelpspar-decisions/leases";
import { toKelpsparError } from "kelpspar-shared";

/** The engine group, this lease holder and the table of the lease. */
export interface GroupLeaseOptions {
  readonly group: string;
  readonly holder: string;
  readonly table: TableService;
  readonly timer: TimerService;
}

/**
 * One daemon's side of the lease of an engine group. The decision logic is in
 * kelpspar-decisions; this class executes it against the table.
 */
export class GroupLease {
  readonly #options: GroupLeaseOptions;
  #state: LeaseState;

  constructor(options: GroupLeaseOptions) {
    this.#options = options;
    // Engines that ignore fencing numbers may be listed at any time, so every
    // takeover assumes them: after a holder's death it waits for one longest
    // order in addition.
    this.#state = watchLease(options.holder, {
      now: options.timer.now(),
      terms: { hasUncheckedEndpoints: true },
    });
  }

  /** Call several times a second: a gap is treated as a process pause. */
  tick(): void {
    const { timer } = this.#options;
    this.#advance({
      type: "tick",
      now: timer.now(),
      wallClock: timer.wallClock(),
    });
  }

  /** Releases the lease; only allowed while no order is in flight. */
  stop(): void {
    this.#advance({ type: "stop", now: this.#options.timer.now() });
    this.tick();
  }

  /**
   * The fencing number for an order; undefined when the lease is not held. Read
   * it right before the order is sent.
   */
  fencingNumber(): number | undefined {
    return fencingNumberForOrder(this.#state, this.#options.timer.now());
  }

  #advance(event: LeaseEvent): void {
    const step = advanceLease(this.#state, event);
    this.#state = step.state;
    for (const action of step.actions) {
      this.#actions[action.type](action as never);
    }
  }

  readonly #actions: {
    readonly [Type in LeaseAction["type"]]: (
      action: Extract<LeaseAction, { readonly type: Type }>,
    ) => void;
  } = {
    read: () => void this.#read(),
    write: (action) => void this.#write(action),
    gained: () => {},
    lost: () => {},
  };

  get #key(): { readonly table: string; readonly key: string } {
    return { table: LEASES_TABLE, key: this.#options.group };
  }

  async #read(): Promise<void> {
    const { table, timer } = this.#options;
    try {
      const [row = null] = await table.read([this.#key]);
      const found = toFoundLease(row);
      this.#advance({ type: "seen", now: timer.now(), found });
    } catch {
      // The next tick retries the read.
    }
  }

  async #write(
    action: Extract<LeaseAction, { readonly type: "write" }>,
  ): Promise<void> {
    const { table } = this.#options;
    const { row: value, expectedVersion } = action;
    const write = { ...this.#key, value, expectedVersion };
    try {
      const result = await table.commit({ writes: [write] });
      this.#advance(this.#toEvent(result));
    } catch (thrown) {
      const error = toKelpsparError(thrown, "write_unknown");
      const isNotWritten = error.result === "table_unavailable";
      const type = isNotWritten ? "unavailable" : "unknown";
      this.#advance({ type, now: this.#options.timer.now() });
    }
  }

  #toEvent(result: Awaited<ReturnType<TableService["commit"]>>): LeaseEvent {
    const now = this.#options.timer.now();
    if (!result.committed) {
      const found = toFoundLease(result.conflicts[0]?.row ?? null);
      return { type: "conflict", now, found };
    }
    const [version] = result.versions;
    if (version === undefined) return { type: "unknown", now };
    return { type: "committed", now, version };
  }
}

function toFoundLease(row: TableRow | null): FoundLease | null {
  const lease = parseLeaseRow(row?.value);
  if (row === null || lease === undefined) return null;
  return { row: lease, version: row.version };
}

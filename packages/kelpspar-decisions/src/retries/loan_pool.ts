/** Part of the slack that is lent, or was spent. */
export interface Loan {
  readonly expiresAt: number;
  readonly amount: number;
}

/** Retries lent for a short time; unspent ones expire. */
export class LoanPool {
  #loans: Loan[] = [];

  /** Adds retries that may be spent until `expiresAt`. */
  add(amount: number, expiresAt: number): void {
    if (amount > 0) this.#loans.push({ amount, expiresAt });
  }

  available(now: number): number {
    this.#loans = this.#loans.filter(({ expiresAt }) => expiresAt > now);
    return sumLoans(this.#loans);
  }

  /** Spends up to `count` retries, those that expire first; returns how many. */
  take(count: number, now: number): number {
    return sumLoans(this.takeLoans(count, now));
  }

  /** Like `take`; returns what was spent, which `add` gives back. */
  takeLoans(count: number, now: number): readonly Loan[] {
    let missing = Math.min(count, this.available(now));
    const taken: Loan[] = [];
    const left: Loan[] = [];
    this.#loans.sort((first, second) => first.expiresAt - second.expiresAt);
    for (const { amount, expiresAt } of this.#loans) {
      const part = Math.min(missing, amount);
      missing -= part;
      if (part > 0) taken.push({ amount: part, expiresAt });
      if (part < amount) left.push({ amount: amount - part, expiresAt });
    }
    this.#loans = left;
    return taken;
  }
}

/** Number of retries in several loans. */
export function sumLoans(loans: readonly Loan[]): number {
  return loans.reduce((sum, { amount }) => sum + amount, 0);
}

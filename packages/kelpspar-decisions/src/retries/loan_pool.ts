interface Loan {
  readonly expiresAt: number;
  amount: number;
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
    return this.#loans.reduce((sum, { amount }) => sum + amount, 0);
  }

  /** Spends up to `count` retries, those that expire first; returns how many. */
  take(count: number, now: number): number {
    let missing = Math.min(count, this.available(now));
    const taken = missing;
    this.#loans.sort((left, right) => left.expiresAt - right.expiresAt);
    for (const loan of this.#loans) {
      const amount = Math.min(missing, loan.amount);
      loan.amount -= amount;
      missing -= amount;
    }
    this.#loans = this.#loans.filter(({ amount }) => amount > 0);
    return taken;
  }
}

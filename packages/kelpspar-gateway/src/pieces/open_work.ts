/** Pieces of open chains that are still to be made, by service and priority. */
export class OpenWork {
  readonly #services = new Map<string, Map<number, number>>();

  /** Adds pieces, or removes them if `count` is negative. */
  add(
    service: string,
    { priority, count }: { readonly priority: number; readonly count: number },
  ): void {
    const counts = this.#services.get(service) ?? new Map<number, number>();
    this.#services.set(service, counts);
    const total = (counts.get(priority) ?? 0) + count;
    if (total === 0) counts.delete(priority);
    else counts.set(priority, total);
  }

  /** Sum of pieces, each weighted by the `weight` of its priority. */
  sum(service: string, weight: (priority: number) => number): number {
    let pieces = 0;
    for (const [priority, count] of this.#services.get(service) ?? []) {
      pieces += count * weight(priority);
    }
    return pieces;
  }
}

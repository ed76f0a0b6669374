/**
 * The connections between two parties. A cut loses everything, on old and new
 * connections. A silent connection loses everything too, but a new one works.
 */
export class NetworkLink {
  #isCut = false;
  #generation = 0;
  #silentUpToGeneration = -1;
  #pooledGeneration = 0;

  /** The generation of a connection opened now. */
  get newestGeneration(): number {
    return this.#generation;
  }

  /** The generation of the connection kept for reuse. */
  get pooledGeneration(): number {
    return this.#pooledGeneration;
  }

  /** Drops the kept connection: the next one is new. */
  renewPooled(): void {
    this.#pooledGeneration = this.#generation;
  }

  /** Open connections go silent for good; new ones work. */
  goSilent(): void {
    this.#silentUpToGeneration = this.#generation;
    this.#generation++;
  }

  cut(): void {
    this.#isCut = true;
  }

  heal(): void {
    this.#isCut = false;
  }

  /** True when a connection of this generation carries what is sent. */
  canDeliver(generation: number): boolean {
    return !this.#isCut && generation > this.#silentUpToGeneration;
  }

  /** False while no new connection can be made. */
  get canConnect(): boolean {
    return !this.#isCut;
  }
}

/**
 * The connections between two parties. While the link is cut, messages on old
 * and new connections are lost. Messages on a silent connection are lost too,
 * but a new connection works.
 */
export class NetworkLink {
  #isCut = false;
  #generation = 0;
  #silentUpToGeneration = -1;
  #pooledGeneration = 0;

  /** The generation of a new connection. */
  get newestGeneration(): number {
    return this.#generation;
  }

  /** The generation of the pooled connection. */
  get pooledGeneration(): number {
    return this.#pooledGeneration;
  }

  /** Replaces the pooled connection by a new one. */
  renewPooled(): void {
    this.#pooledGeneration = this.#generation;
  }

  /** Makes open connections lose all further messages; new ones work. */
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

  /** True if a connection of this generation delivers messages. */
  canDeliver(generation: number): boolean {
    return !this.#isCut && generation > this.#silentUpToGeneration;
  }

  /** False while the link is cut, so that no connection can be opened. */
  get canConnect(): boolean {
    return !this.#isCut;
  }
}

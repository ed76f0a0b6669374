/** The platform's object store. Its methods throw `object_unavailable`. */
export interface ObjectStore {
  put(name: string, content: string): Promise<void>;
  /** Returns null if the object does not exist. */
  get(name: string): Promise<string | null>;
}

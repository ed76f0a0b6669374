import type { CrowdCaller } from "./crowd_caller.ts";

/**
 * What one caller of a crowd does. Resolves when it has sent all, or can't;
 * connections that it leaves open stay open.
 */
export type CrowdBehaviour = (caller: CrowdCaller) => Promise<void>;

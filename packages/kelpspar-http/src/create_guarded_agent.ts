import type { ConnectOptions } from "./guarded_client.ts";
import type { MalformedAnswerError } from "./malformed_answer_error.ts";
import { Agent } from "undici";
import { createGuardedPool } from "./create_guarded_pool.ts";
import { GuardedClient } from "./guarded_client.ts";

/** Options of `createGuardedAgent`. */
export interface GuardedAgentOptions
  extends Omit<Agent.Options, "connect" | "factory"> {
  readonly connect?: ConnectOptions | undefined;
  /** Called when a connection is closed for what came on it; default none. */
  readonly onMalformed?:
    | ((origin: string, error: MalformedAnswerError) => void)
    | undefined;
}

/** Creates an agent of which a `ProgressGuard` watches each connection. */
export function createGuardedAgent(options: GuardedAgentOptions): Agent {
  const { connect, onMalformed, ...agentOptions } = options;
  return new Agent({
    ...agentOptions,
    factory: (origin, poolOptions) => {
      const guardedOptions = {
        ...poolOptions,
        connect,
        onMalformed: (error: MalformedAnswerError): void =>
          onMalformed?.(String(origin), error),
      };
      // As undici's agent does by itself.
      return agentOptions.connections === 1
        ? new GuardedClient(origin, guardedOptions)
        : createGuardedPool(origin, guardedOptions);
    },
  });
}

import type { Ref } from "nact";
import type { KelpsparError } from "kelpspar-shared";
import { invariant, toKelpsparError } from "kelpspar-shared";
import { dispatch, spawn } from "nact";

/** A command to a role, told apart by its type. */
export interface RoleCommand {
  readonly type: string;
}

/** Handles one type of command; returns the role's next state. */
export type RoleHandler<State, Command extends RoleCommand> = (
  state: State,
  command: Command,
) => State | Promise<State>;

/** The handlers of a role, by the type of command. */
export type RoleHandlers<State, Command extends RoleCommand> = {
  readonly [Type in Command["type"]]: RoleHandler<
    State,
    Extract<Command, { readonly type: Type }>
  >;
};

/** What a role is made of. */
export interface SpawnRoleOptions<State, Command extends RoleCommand> {
  readonly name: string;
  readonly initialState: State;
  readonly handlers: RoleHandlers<State, Command>;
  /** Told of a handler that threw; the role goes on in its old state. */
  readonly onError: (name: string, error: KelpsparError) => void;
}

/** Sends commands to a role, one after the other. */
export type RoleSender<Command extends RoleCommand> = (
  command: Command,
) => void;

/**
 * Starts a role as an actor: it takes one command at a time, so that its state
 * never changes while a handler waits for the platform.
 */
export function spawnRole<State, Command extends RoleCommand>(
  system: Ref<never>,
  options: SpawnRoleOptions<State, Command>,
): RoleSender<Command> {
  // The table's type pairs each handler with its own command; a look-up by a
  // command's type loses that pairing, which only the table's type can state.
  const handlers = options.handlers as unknown as Readonly<
    Record<string, RoleHandler<State, Command>>
  >;
  const handle = async (state: State, command: Command): Promise<State> => {
    const handler = handlers[command.type];
    invariant(handler !== undefined, 9008);
    try {
      return await handler(state, command);
    } catch (thrown) {
      options.onError(options.name, toKelpsparError(thrown));
      return state;
    }
  };
  const reference = spawn(system, handle, options.name, {
    initialState: options.initialState,
  });
  return (command) => dispatch(reference as Ref<Command>, command);
}

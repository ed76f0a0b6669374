import type { Ref } from "nact";
import type { KelpsparError } from "kelpspar-shared";
import { invariant, toKelpsparError } from "kelpspar-shared";
import { dispatch, spawn } from "nact";

/** A command to an actor, discriminated by its type. */
export interface ActorCommand {
  readonly type: string;
}

/** Handles one type of command; returns the actor's next state. */
export type ActorHandler<State, Command extends ActorCommand> = (
  state: State,
  command: Command,
) => State | Promise<State>;

/** The handlers of an actor, by the type of command. */
export type ActorHandlers<State, Command extends ActorCommand> = {
  readonly [Type in Command["type"]]: ActorHandler<
    State,
    Extract<Command, { readonly type: Type }>
  >;
};

/** The name, initial state and handlers of an actor. */
export interface SpawnActorOptions<State, Command extends ActorCommand> {
  readonly name: string;
  readonly initialState: State;
  readonly handlers: ActorHandlers<State, Command>;
  /** Called when a handler throws; the actor keeps its previous state. */
  readonly onError: (name: string, error: KelpsparError) => void;
}

/** Enqueues a command for an actor. */
export type ActorSender<Command extends ActorCommand> = (
  command: Command,
) => void;

/**
 * Starts an actor. It processes one command at a time, so that its state never
 * changes while a handler awaits the platform.
 */
export function spawnActor<State, Command extends ActorCommand>(
  system: Ref<never>,
  options: SpawnActorOptions<State, Command>,
): ActorSender<Command> {
  // The type of `handlers` pairs each handler with its own command. A lookup by
  // a command's type loses that pairing, so the cast is needed.
  const handlers = options.handlers as unknown as Readonly<
    Record<string, ActorHandler<State, Command>>
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

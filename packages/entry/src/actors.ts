import { dispatch, type Ref, spawn, start, stop as stopRef } from "nact";
import { describeError, type EventLog, Events } from "@rattanhill/shared";

/** Handles messages of one type, one at a time and in the order of sending. */
export interface Actor<Message> {
  /** Queues a message. */
  send(message: Message): void;
  /** Stops the actor; queued messages are dropped. */
  stop(): void;
}

/** Creates the actors of one process. */
export interface ActorSystem {
  /**
   * Creates an actor.
   *
   * @param name unique name, also used in the log
   * @param receive handles one message; an error is logged, and the next
   * message is handled
   * @returns the actor, ready to receive
   */
  spawn<Message>(
    name: string,
    receive: (message: Message) => void | Promise<void>,
  ): Actor<Message>;
  /** Stops all actors. */
  stop(): void;
}

/**
 * Creates an actor system.
 *
 * @param log event log, to which errors of the actors are written
 * @returns the system, without actors
 */
export function createActorSystem(log: EventLog): ActorSystem {
  const system = start();
  return {
    spawn: <Message>(
      name: string,
      receive: (message: Message) => void | Promise<void>,
    ) => {
      const handle = async (_: undefined, message: Message) => {
        try {
          await receive(message);
        } catch (error) {
          const errorText = describeError(error);
          log(Events.unexpectedError, { actor: name, error: errorText });
        }
        return undefined;
      };
      const ref: Ref<unknown> = spawn(system, handle, name);
      return {
        send: (message) => dispatch(ref, message as unknown),
        stop: () => stopRef(ref),
      };
    },
    stop: () => stopRef(system),
  };
}

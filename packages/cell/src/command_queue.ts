/** Limits how many commands to one worker are under way at the same time. */
export interface CommandQueue {
  /**
   * Waits for the turn of a command. Urgent commands go before the others;
   * otherwise the order is that of the calls.
   *
   * @returns function that ends the turn, to be called once; undefined if the
   * command is given up before its turn
   */
  takeTurn(options?: { isUrgent?: boolean }): Promise<EndTurn | undefined>;
  /** Gives up all commands that wait and are not urgent. */
  giveUpWaiting(): void;
  /** Gives up all commands that wait, and those to come. */
  close(): void;
}

/** Ends the turn of a command. */
export type EndTurn = () => void;

/**
 * Creates a queue without commands.
 *
 * @param maximum number of commands that may be under way
 * @returns the queue
 */
export function createCommandQueue(maximum: number): CommandQueue {
  type Waiting = (endTurn: EndTurn | undefined) => void;
  const urgent: Waiting[] = [];
  const others: Waiting[] = [];
  let underWay = 0;
  let isClosed = false;

  const startNext = (): void => {
    while (underWay < maximum) {
      const next = urgent.shift() ?? others.shift();
      if (next === undefined) return;
      underWay += 1;
      next(endTurn);
    }
  };
  const endTurn = (): void => {
    underWay -= 1;
    startNext();
  };
  const giveUp = (waiting: Waiting[]): void => {
    for (const resolve of waiting.splice(0)) resolve(undefined);
  };

  return {
    takeTurn: ({ isUrgent = false } = {}) =>
      new Promise((resolve) => {
        if (isClosed) return resolve(undefined);
        (isUrgent ? urgent : others).push(resolve);
        startNext();
      }),
    giveUpWaiting: () => giveUp(others),
    close: () => {
      isClosed = true;
      giveUp(urgent);
      giveUp(others);
    },
  };
}

import {
  type Clock,
  ErrorCode,
  type Logger,
  type Milliseconds,
  UncertainError,
} from "@rattanhill/shared";
import {
  type CellEntry,
  type ConnectWorker,
  createCellEntry,
  createMetrics,
  type Store,
} from "../src/mod.ts";
import { callWithFate, type Fate } from "./model_store.ts";
import type { ModelWorker } from "./model_worker.ts";

/** Time within which an accepted job must be known to every entry. */
export const VISIBLE_MS: Milliseconds = 3_000;
const WORKER_CAPACITY = {
  milliCores: 16_000,
  memoryMegabytes: 16_000,
  accelerators: 16,
};

/** An entry process of the model. */
export interface ModelEntry {
  entry: CellEntry;
  /** Ends the process: none of its calls has an effect or an answer any more. */
  kill(): void;
}

/** Options of {@link startModelEntry}. */
export interface ModelEntryOptions {
  node: string;
  incarnation: number;
  clock: Clock;
  log: Logger;
  store: Store;
  random(): number;
  /** @returns the worker at an address */
  workerAt(address: string): ModelWorker | undefined;
  /** @returns what becomes of the next call to the worker at an address */
  fateOf(address: string): Fate;
  latencyOf(): Milliseconds;
}

/** @returns the address of a worker, and its VM; the same for its successors */
export function addressOf(id: string): string {
  return id.split("+")[0];
}

/**
 * Starts an entry process.
 *
 * @param options its VM, clock and log, and what it can reach
 * @returns the process
 */
export function startModelEntry(options: ModelEntryOptions): ModelEntry {
  const { node, store } = options;
  let isKilled = false;
  const never = () => new Promise<never>(() => {});
  const whileAlive = async <Result>(
    call: () => Promise<Result>,
  ): Promise<Result> => {
    if (isKilled) return await never();
    try {
      const result = await call();
      return isKilled ? await never() : result;
    } catch (error) {
      if (isKilled) return await never();
      throw error;
    }
  };
  const connect: ConnectWorker = (id, address) => {
    const call = <Result>(
      timeoutMs: Milliseconds,
      execute: (worker: ModelWorker) => Result | Promise<Result>,
    ): Promise<Result> =>
      whileAlive(() =>
        callWithFate(() => {
          const worker = options.workerAt(address);
          if (worker === undefined || worker.isDead()) throw unanswered();
          return execute(worker);
        }, {
          fate: options.fateOf(address),
          timeoutMs,
          latencyMs: options.latencyOf(),
        })
      );
    return {
      hold: ({ term, leaseUntil, acknowledgedEnd, waitMs, timeoutMs }) =>
        call(timeoutMs, async (worker) => {
          if (worker.id !== id) return undefined;
          const poll = { term, leaseUntil, acknowledgedEnd, waitMs };
          const answer = await worker.hold(poll);
          if (answer === "fenced" || worker.isDead()) throw unanswered();
          return answer;
        }),
      start: (command) =>
        call(command.timeoutMs, (worker) =>
          worker.id === id
            ? worker.start({
              ...command,
              durationMs: Number(command.payload),
            })
            : { kind: "refused", reason: "otherLifetime" } as const),
      stop: ({ term, task, number, timeoutMs }) =>
        call(
          timeoutMs,
          (worker) => worker.id === id && worker.stop(term, task, number),
        ),
      close: async () => {},
    };
  };
  const entry = createCellEntry({
    node,
    incarnation: String(options.incarnation),
    cell: 0,
    store: {
      ...store,
      append: (...call) => whileAlive(() => store.append(...call)),
      read: (...call) => whileAlive(() => store.read(...call)),
      readNewest: (...call) => whileAlive(() => store.readNewest(...call)),
    },
    clock: options.clock,
    log: options.log,
    limits: {
      remoteFactor: 3,
      reclaimMs: 3_000,
      stopMs: 500,
      heartbeatMs: 1_500,
      revocationMs: 5_000,
      visibleMs: VISIBLE_MS,
      keepEndedMs: 60_000,
    },
    connect,
    metrics: createMetrics(),
    random: options.random,
    electionPriority: 0.5 + options.random() / 2,
    decodeConfig: (text) => JSON.parse(text),
    configKey: "config",
    evacuatedZoneOf: () => undefined,
    decodeWorker: (id, text) => ({
      id,
      lifetime: JSON.parse(text).lifetime,
      vm: addressOf(id),
      service: "s",
      address: addressOf(id),
      zone: "z",
      labels: [],
      rack: "r",
      capacity: WORKER_CAPACITY,
      isDraining: false,
      remainingMs: 0,
    }),
  });
  return {
    entry,
    kill: () => {
      isKilled = true;
      entry.close();
    },
  };
}

function unanswered(): UncertainError {
  return new UncertainError(ErrorCode.workerUnreachable, "no answer", {
    step: "model",
    peer: "worker",
  });
}

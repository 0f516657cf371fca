import {
  ErrorCode,
  type Milliseconds,
  UnavailableError,
  UncertainError,
} from "@rattanhill/shared";
import type { KeyedValue } from "@rattanhill/scheduler";
import type {
  AppendConditions,
  AppendResult,
  Store,
  StoredRecord,
} from "../src/mod.ts";

/** What becomes of a call. */
export type Fate =
  | "answered"
  /** It is refused, and has no effect. */
  | "refused"
  /** It has no effect, and there is no answer. */
  | "lost"
  /** It takes effect, but its answer is lost. */
  | "answerLost"
  /** It takes effect after its caller has given it up. */
  | "late";

const CONTEXT = { step: "model", peer: "model" };
const KEYS_PER_PAGE = 5;

interface Topic {
  /** All records; those before `first` count as deleted. */
  records: StoredRecord[];
  first: number;
  newest: Map<string, StoredRecord>;
  term: number;
  sequence: number;
  answers: Map<number, AppendResult>;
  waiters: Set<() => void>;
}

/**
 * Carries out a call with a fate.
 *
 * @param execute the effect; its result is the answer
 * @param options fate, time limit, and the time until the effect and the answer
 * @returns the answer
 */
export function callWithFate<Result>(
  execute: () => Result | Promise<Result>,
  { fate, timeoutMs, latencyMs }: {
    fate: Fate;
    timeoutMs: Milliseconds;
    latencyMs: Milliseconds;
  },
): Promise<Result> {
  return new Promise((resolve, reject) => {
    const fail = () =>
      reject(
        new UncertainError(ErrorCode.logUncertain, "no answer", CONTEXT),
      );
    const timer = setTimeout(fail, timeoutMs);
    if (fate === "lost") return;
    if (fate === "refused") {
      setTimeout(() => {
        clearTimeout(timer);
        reject(
          new UnavailableError(ErrorCode.logUnavailable, "refused", CONTEXT),
        );
      }, latencyMs);
      return;
    }
    const delayMs = fate === "late" ? timeoutMs + 40 * latencyMs : latencyMs;
    setTimeout(async () => {
      try {
        const result = await execute();
        if (fate !== "answered") return;
        setTimeout(() => {
          clearTimeout(timer);
          resolve(result);
        }, latencyMs);
      } catch (error) {
        if (fate === "answered") reject(error);
      }
    }, delayMs);
  });
}

/**
 * Creates the platform's store in simulated time.
 *
 * @param random source of random numbers
 * @returns clients of the store, and functions to write as others and to delete
 * old records
 */
export function createModelStore(random: () => number) {
  const topics = new Map<string, Topic>();
  const topicOf = (name: string): Topic => {
    const topic = topics.get(name) ?? {
      records: [],
      first: 0,
      newest: new Map(),
      term: 0,
      sequence: 0,
      answers: new Map(),
      waiters: new Set(),
    };
    topics.set(name, topic);
    return topic;
  };

  const append = (
    name: string,
    values: readonly KeyedValue[],
    { expectedEndOffset, fence }: Partial<AppendConditions>,
  ): AppendResult => {
    const topic = topicOf(name);
    const { records, newest } = topic;
    if (fence !== undefined) {
      if (fence.term < topic.term) return { kind: "fenced" };
      if (fence.term > topic.term) {
        topic.term = fence.term;
        topic.sequence = fence.sequence;
        topic.answers.clear();
      }
      const known = topic.answers.get(fence.sequence);
      if (known !== undefined) return known;
      if (fence.sequence !== topic.sequence) {
        return { kind: "outOfSequence", expected: topic.sequence };
      }
    }
    if (
      expectedEndOffset !== undefined && expectedEndOffset !== records.length
    ) return { kind: "moved", endOffset: records.length };
    for (const { key, value } of values) {
      const record = { key, value, offset: records.length };
      records.push(record);
      if (value === undefined) newest.delete(key);
      else newest.set(key, record);
    }
    const result = { kind: "appended", endOffset: records.length } as const;
    if (fence !== undefined) {
      topic.sequence = fence.sequence + 1;
      topic.answers.set(fence.sequence, result);
      topic.answers.delete(fence.sequence - 5);
    }
    for (const wake of topic.waiters) wake();
    topic.waiters.clear();
    return result;
  };

  /** @returns a client; `fateOf` decides on each of its calls */
  const createClient = (
    fateOf: () => Fate,
    latencyOf: () => Milliseconds,
  ): Store => {
    const call = <Result>(
      timeoutMs: Milliseconds,
      execute: () => Result | Promise<Result>,
    ) =>
      callWithFate(execute, {
        fate: fateOf(),
        timeoutMs,
        latencyMs: latencyOf(),
      });
    return {
      limits: { recordBytes: 262_144, callBytes: 2_097_152 },
      append: (name, values, conditions) =>
        call(conditions.timeoutMs, () => append(name, values, conditions)),
      read: (name, from, { waitMs, timeoutMs }) =>
        call(timeoutMs, async () => {
          const topic = topicOf(name);
          if (from >= topic.records.length && waitMs > 0) {
            await new Promise<void>((resolve) => {
              const timer = setTimeout(resolve, waitMs);
              topic.waiters.add(() => {
                clearTimeout(timer);
                resolve();
              });
            });
          }
          if (from < topic.first) return { kind: "expired" } as const;
          const maximum = 1 + Math.floor(random() * 40);
          const records = topic.records.slice(from, from + maximum);
          return {
            kind: "records",
            records,
            nextOffset: from + records.length,
            endOffset: topic.records.length,
          } as const;
        }),
      readNewest: async (name, timeoutMs) => {
        const records: StoredRecord[] = [];
        let endOffset = Infinity;
        let after = "";
        while (true) {
          const page = await call(timeoutMs, () => {
            const topic = topicOf(name);
            const keys = [...topic.newest.keys()].sort()
              .filter((key) => key > after);
            return {
              items: keys.slice(0, KEYS_PER_PAGE)
                .map((key) => topic.newest.get(key)!),
              hasMore: keys.length > KEYS_PER_PAGE,
              end: topic.records.length,
            };
          });
          records.push(...page.items);
          endOffset = Math.min(endOffset, page.end);
          if (!page.hasMore) return { records, endOffset };
          after = page.items.at(-1)!.key;
        }
      },
      close: async () => {},
    };
  };

  return {
    createClient,
    write: (name: string, values: readonly KeyedValue[]) =>
      append(name, values, {}),
    /** Deletes records except for the last few of each topic. */
    expire: () => {
      for (const topic of topics.values()) {
        topic.first = Math.max(
          topic.first,
          topic.records.length - Math.floor(random() * 3),
        );
      }
    },
  };
}

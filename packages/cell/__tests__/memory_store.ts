import {
  ErrorCode,
  pause,
  UnavailableError,
  UncertainError,
} from "@rattanhill/shared";
import type { KeyedValue } from "@rattanhill/scheduler";
import type { AppendResult, Store, StoredRecord } from "../src/mod.ts";

/** Fault of one append. */
export type AppendFault =
  /** The store refuses the append and stores nothing. */
  | "refused"
  /** The store appends the records, but its answer is lost. */
  | "lost"
  /** The store neither appends the records nor answers. */
  | "undone"
  /** The store rejects the append as invalid. */
  | "rejected";

/**
 * Creates a store in memory. Each append has the next of the given faults;
 * appends after the last fault succeed, unless the store does not accept one of
 * the records.
 */
export function createMemoryStore(
  faults: AppendFault[] = [],
  limits = { recordBytes: 262_144, callBytes: 2_097_152 },
  accepts: (value: KeyedValue) => boolean = () => true,
) {
  const topics = new Map<string, StoredRecord[]>();
  const terms = new Map<string, number>();
  const appendedSequences = new Set<string>();
  const recordsOf = (topic: string): StoredRecord[] => {
    const records = topics.get(topic) ?? [];
    topics.set(topic, records);
    return records;
  };
  const context = { step: "store.append", peer: "memory" };
  let appends = 0;

  const store: Store = {
    limits,
    append: (topic, values, { expectedEndOffset, fence }) =>
      toPromise(() => {
        appends += 1;
        const fault = faults.shift();
        if (fault === "refused") {
          throw new UnavailableError(ErrorCode.logUnavailable, "503", context);
        }
        if (fault === "undone") {
          throw new UncertainError(
            ErrorCode.logUncertain,
            "no answer",
            context,
          );
        }
        if (fault === "rejected" || !values.every(accepts)) {
          return { kind: "rejected", status: 400 };
        }
        const records = recordsOf(topic);
        const result = ((): AppendResult => {
          const endOffset = records.length;
          if (
            expectedEndOffset !== undefined && expectedEndOffset !== endOffset
          ) {
            return { kind: "moved", endOffset };
          }
          if (fence !== undefined) {
            if (fence.term < (terms.get(topic) ?? 0)) return { kind: "fenced" };
            terms.set(topic, fence.term);
            const sequenceKey = `${topic}/${fence.term}/${fence.sequence}`;
            if (values.length > 0 && appendedSequences.has(sequenceKey)) {
              return { kind: "appended", endOffset };
            }
            if (values.length > 0) appendedSequences.add(sequenceKey);
          }
          for (const value of values) {
            records.push({ ...value, offset: records.length });
          }
          return { kind: "appended", endOffset: records.length };
        })();
        if (fault === "lost") {
          throw new UncertainError(
            ErrorCode.logUncertain,
            "no answer",
            context,
          );
        }
        return result;
      }),
    read: async (topic, from, { waitMs }) => {
      if (recordsOf(topic).length <= from) await pause(Math.min(waitMs, 20));
      return {
        kind: "records",
        records: recordsOf(topic).slice(from),
        nextOffset: recordsOf(topic).length,
        endOffset: recordsOf(topic).length,
      };
    },
    readNewest: (topic) =>
      Promise.resolve({
        records: recordsOf(topic),
        endOffset: recordsOf(topic).length,
      }),
    close: async () => {},
  };
  return { store, recordsOf, appends: () => appends };
}

/** Calls a function and returns its result or error as a promise. */
function toPromise<Result>(run: () => Result): Promise<Result> {
  try {
    return Promise.resolve(run());
  } catch (error) {
    return Promise.reject(error);
  }
}

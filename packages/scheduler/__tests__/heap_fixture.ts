import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import {
  createJobBook,
  decodeRecord,
  encodeRecord,
  type JobSpec,
} from "../src/mod.ts";
import { job, step } from "./cell_fixture.ts";

setFlagsFromString("--expose-gc");
const collectGarbage: () => void = runInNewContext("gc");

/** @returns the bytes by which the heap has grown, and what takes them */
export function measureHeap<Held>(
  create: () => Held,
): { held: Held; bytes: number } {
  const usedBytes = (): number => {
    collectGarbage();
    collectGarbage();
    return process.memoryUsage().heapUsed;
  };
  const before = usedBytes();
  const held = create();
  return { held, bytes: usedBytes() - before };
}

/** @returns a job each step of which waits for the one before it */
export const chain = (id: string, count: number): JobSpec =>
  job(id, {
    steps: Array.from(
      { length: count },
      (_, index) => step({ after: index > 0 ? [index - 1] : [] }),
    ),
  });

/** @returns the jobs, read from the records of their submissions */
export function readBook(specs: readonly JobSpec[]) {
  const book = createJobBook();
  for (const spec of specs) {
    const [{ key, value }] = encodeRecord({ kind: "submission", spec });
    book.apply(decodeRecord(key, value)!);
  }
  return book;
}

/** @returns IDs of a number of jobs */
export const idsOf = (count: number) =>
  Array.from({ length: count }, (_, index) => `${index}`.padStart(16, "0"));

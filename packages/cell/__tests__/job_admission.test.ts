import { expect } from "chai";
import { createManualClock, silentLogger } from "@rattanhill/shared";
import {
  createJobBook,
  estimateJobBytes,
  type JobSpec,
} from "@rattanhill/scheduler";
import { createJobAdmission, createMetrics } from "../src/mod.ts";

const STEP = {
  taskCount: 1,
  milliCores: 1,
  memoryMegabytes: 1,
  accelerators: 0,
  estimateMs: 1,
  after: [],
};

const createJob = (id: string, steps = 1): JobSpec => ({
  id,
  queue: "q",
  account: "a",
  payload: "",
  service: "s",
  submittedAt: 0,
  steps: Array.from({ length: steps }, () => STEP),
});

const SMALL = estimateJobBytes(createJob("a"), { hasEnded: false });

/** Creates an admission with a bound, in numbers of small jobs. */
function createAdmission(smallJobs: number) {
  const clock = createManualClock();
  const book = createJobBook();
  const metrics = createMetrics();
  const lines: Record<string, unknown>[] = [];
  const admission = createJobAdmission({
    book,
    clock,
    metrics,
    log: { ...silentLogger, warn: (fields) => lines.push(fields) },
    maximumJobBytes: smallJobs * SMALL,
  });
  /** Applies submissions that any entry has stored. */
  const store = (...specs: JobSpec[]) => {
    for (const spec of specs) book.apply({ kind: "submission", spec });
  };
  const admit = (spec: JobSpec, waitMs = 0) =>
    admission.admit(spec, clock.now() + waitMs);
  const end = (job: string) =>
    book.apply({ kind: "outcome", job, outcome: "completed", at: 0 });
  return { admission, admit, book, clock, metrics, lines, store, end };
}

it("job admission: a job that does not fit is refused, a smaller one is not", async () => {
  const { admit, store } = createAdmission(10);
  store(createJob("large", 15));
  expect(await admit(createJob("other", 15))).to.not.equal(undefined);
  expect(await admit(createJob("small"))).to.equal(undefined);
});

it("job admission: ended jobs make room", async () => {
  const { admit, store, end } = createAdmission(10);
  store(createJob("large", 15));
  expect(await admit(createJob("other", 15))).to.not.equal(undefined);
  end("large");
  expect(await admit(createJob("other", 15))).to.equal(undefined);
});

it("job admission: jobs that are being stored take room", async () => {
  const { admission, admit, book } = createAdmission(10);
  const large = createJob("large", 15);
  expect(await admit(large)).to.equal(undefined);
  expect(await admit(createJob("other", 15))).to.not.equal(undefined);
  // It was not stored.
  admission.end(large);
  expect(book.find("large")).to.equal(undefined);
  expect(await admit(createJob("other", 15))).to.equal(undefined);
});

// Each entry accepted jobs of which the others did not know yet.
it("job admission: an entry leaves room for what others accept meanwhile", async () => {
  const { admission, admit, book, store } = createAdmission(160);
  const admitted: JobSpec[] = [];
  let refusal: Awaited<ReturnType<typeof admit>>;
  while (refusal === undefined) {
    const spec = createJob(`j${admitted.length}`);
    refusal = await admit(spec);
    if (refusal !== undefined) break;
    admitted.push(spec);
    book.addUnconfirmed(spec, 1);
    admission.end(spec);
  }
  expect(admitted.length).to.be.within(8, 10);
  expect(refusal.retryAfterMs).to.equal(1_000);
  store(...admitted);
  expect(await admit(createJob("next"))).to.equal(undefined);
});

it("job admission: a job waits until earlier ones have been read back", async () => {
  const { admission, admit, book, store } = createAdmission(16);
  const earlier = createJob("earlier");
  expect(await admit(earlier)).to.equal(undefined);
  book.addUnconfirmed(earlier, 1);
  admission.end(earlier);
  const waiting = admit(createJob("later"), 1_000);
  setTimeout(() => store(earlier), 50);
  expect(await waiting).to.equal(undefined);
});

it("job admission: the delay follows from the rate at which jobs end", async () => {
  const { admit, clock, store, end } = createAdmission(1_000);
  for (let index = 0; index < 26; index++) store(createJob(`${index}`, 100));
  const large = createJob("large", 400);
  expect((await admit(large))!.retryAfterMs).to.equal(10_000);
  end("0");
  clock.advance(4_000);
  expect((await admit(large))!.retryAfterMs).to.equal(10_000);
  end("1");
  clock.advance(1_000);
  expect((await admit(large))!.retryAfterMs).to.be.within(3_000, 8_000);
});

it("job admission: a refusal is counted and logged with values and bounds", async () => {
  const { admit, metrics, lines, store } = createAdmission(3);
  store(createJob("known"));
  for (let index = 0; index < 30; index++) {
    await admit(createJob("large", 50));
  }
  expect(metrics.expose()).to.contain(
    "rattanhill_job_refused_memory_total 30",
  );
  expect(lines).to.have.length(20);
  expect(lines[0]).to.include({
    job: "large",
    steps: 50,
    heldBytes: SMALL,
    heldBound: 3 * SMALL,
    retryAfterMs: 10_000,
  });
  expect(lines[0].bytes).to.be.above(2 * SMALL);
});

import { expect } from "chai";
import type { Milliseconds } from "@rattanhill/shared";
import {
  confirmRun,
  findExpiredRuns,
  recordOnlyStart,
  type Run,
  type WorkerState,
} from "../src/mod.ts";

const LATE_COMMAND_MS: Milliseconds = 30_000;

/** Creates a run on a worker whose current lifetime is 1. */
function createRun(changes: Partial<Run> = {}) {
  const worker = {
    lifetime: 1,
    leasesEndBy: 10_000,
    lifetimeLeasesEndBy: 8_000,
    runs: new Set<Run>(),
  } as WorkerState;
  const run = { worker, reportedSince: 1_000, ...changes } as Run;
  worker.runs.add(run);
  return { worker, run };
}

it("confirmed runs: one that was started once and listed ends with its lease", () => {
  const { worker, run } = createRun();
  recordOnlyStart(run, 900);
  confirmRun(run, { lifetime: 1, askedAt: 901 });
  expect(findExpiredRuns(worker, 8_000)).to.deep.equal([]);
  expect(findExpiredRuns(worker, 8_001)).to.deep.equal([run]);
});

// Guards against two runs of one task: the worker may have restarted unnoticed,
// started the run and been cut off.
it("confirmed runs: a start that no later report lists is waited for", () => {
  const { worker, run } = createRun();
  recordOnlyStart(run, 900);
  confirmRun(run, { lifetime: 1, askedAt: 900 });
  expect(findExpiredRuns(worker, 10_000)).to.deep.equal([]);
  expect(findExpiredRuns(worker, 10_001)).to.deep.equal([run]);
});

it("confirmed runs: a repeated start may still be carried out for a while", () => {
  const { worker, run } = createRun();
  confirmRun(run, { lifetime: 1, askedAt: 1_000 + LATE_COMMAND_MS });
  expect(findExpiredRuns(worker, 10_000)).to.deep.equal([]);
  confirmRun(run, { lifetime: 1, askedAt: 1_001 + LATE_COMMAND_MS });
  expect(findExpiredRuns(worker, 10_000)).to.deep.equal([run]);
});

it("confirmed runs: a report without a lifetime confirms none", () => {
  const { worker, run } = createRun();
  recordOnlyStart(run, 900);
  worker.lifetime = 0;
  confirmRun(run, { lifetime: 0, askedAt: 2_000 });
  expect(findExpiredRuns(worker, 10_000)).to.deep.equal([]);
});

it("confirmed runs: a restart makes a run uncertain again", () => {
  const { worker, run } = createRun();
  recordOnlyStart(run, 900);
  confirmRun(run, { lifetime: 1, askedAt: 2_000 });
  worker.lifetime = 2;
  expect(findExpiredRuns(worker, 10_000)).to.deep.equal([]);
});

it("confirmed runs: nothing is released early before the clock is read", () => {
  const { worker, run } = createRun();
  recordOnlyStart(run, 900);
  confirmRun(run, { lifetime: 1, askedAt: 2_000 });
  worker.lifetimeLeasesEndBy = undefined;
  expect(findExpiredRuns(worker, 10_000)).to.deep.equal([]);
});

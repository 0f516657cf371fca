import { expect } from "chai";
import type { JobOutcome } from "../src/mod.ts";
import { createCell, job, step } from "./cell_fixture.ts";

// Guards against runs that go on for good after a change of lead, since the
// outcome of their job was stored and the stops of the earlier lead were lost.
for (const outcome of ["cancelled", "failed", "completed"] as JobOutcome[]) {
  it(`restored runs: those of a job stored as ${outcome} are stopped`, () => {
    const cell = createCell();
    cell.submit(job("a", { steps: [step({ taskCount: 2 })] }));
    cell.settle();
    cell.book.apply({ kind: "outcome", job: "a", outcome, at: 0 });
    if (outcome === "cancelled") {
      cell.book.apply({ kind: "cancellation", job: "a" });
    }
    const next = createCell();
    next.scheduler.restore(cell.book.find("a")!, next.clock.now() + 10_000);
    const stops = next.commands.filter(({ kind }) => kind === "stop");
    expect(stops).to.have.length(2);
    expect(next.scheduler.state.jobs.get("a")!.outcome).to.equal(outcome);
    next.settle();
    expect(next.scheduler.state.jobs.size).to.equal(0);
  });
}

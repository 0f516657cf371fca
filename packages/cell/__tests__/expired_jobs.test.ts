import { expect } from "chai";
import { pause } from "@rattanhill/shared";
import { createJobBook } from "@rattanhill/scheduler";
import { createLead } from "./lead_fixture.ts";

const JOBS = 60;
const WAIT_MS = 3_500;

// Five a second were removed at most, while the large deployments hand in nine
// and more: the list of jobs grew without a bound.
it("expired jobs: more are removed than a large deployment hands in", async () => {
  const book = createJobBook();
  for (let index = 0; index < JOBS; index++) {
    const id = `job-${index}`;
    book.apply({
      kind: "submission",
      spec: {
        id,
        queue: "q",
        account: "t",
        payload: "",
        service: "planner",
        submittedAt: 0,
        steps: [],
      },
    });
    book.apply({ kind: "outcome", job: id, outcome: "completed", at: 0 });
  }
  const { lead } = createLead({ book });
  await lead.start();
  await pause(WAIT_MS);
  lead.close();
  expect([...book.jobs()]).to.deep.equal([]);
});

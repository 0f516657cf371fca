import { expect } from "chai";
import { createManualClock } from "@rattanhill/shared";
import { createEndAcknowledgements } from "../src/end_acknowledgements.ts";

/** Creates the acknowledgements of a worker that has just answered. */
function createAnswered() {
  const worker = { lifetime: 5, lastStoredEnd: 0 };
  const clock = createManualClock(0);
  const acknowledgements = createEndAcknowledgements(worker, clock.now);
  acknowledgements.recordAnswer(5, 0);
  return { worker, clock, acknowledgements };
}

it("end acknowledgements: an end is acknowledged until a poll with it is answered", () => {
  const { worker, acknowledgements } = createAnswered();
  expect(acknowledgements.next()).to.equal(0);
  worker.lastStoredEnd = 3;
  expect(acknowledgements.next()).to.equal(3);
  expect(acknowledgements.next()).to.equal(3);
  acknowledgements.recordAnswer(5, 3);
  expect(acknowledgements.next()).to.equal(0);
});

it("end acknowledgements: a worker has to answer before a late one", () => {
  const { worker, clock, acknowledgements } = createAnswered();
  worker.lastStoredEnd = 3;
  clock.advance(300);
  expect(acknowledgements.next()).to.equal(undefined);
  acknowledgements.recordAnswer(5, 0);
  expect(acknowledgements.next()).to.equal(3);
});

it("end acknowledgements: those of an earlier lifetime count for no other", () => {
  const { worker, acknowledgements } = createAnswered();
  worker.lastStoredEnd = 3;
  acknowledgements.recordAnswer(5, 3);
  worker.lifetime = 6;
  worker.lastStoredEnd = 2;
  expect(acknowledgements.next()).to.equal(undefined);
  acknowledgements.recordAnswer(6, 0);
  expect(acknowledgements.next()).to.equal(2);
});

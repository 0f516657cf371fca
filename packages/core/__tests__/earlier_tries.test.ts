import { createManualClock } from "@rattanhill/shared";
import { expect } from "chai";
import { mayHaveLostTry, type PeerView } from "../src/mod.ts";

const HEX_DIGITS_OF_TIME = 12;

/** A UUIDv7 key that was made at a time. */
function keyOf(time: number): string {
  const hex = time.toString(16).padStart(HEX_DIGITS_OF_TIME, "0");
  return `${hex.slice(0, 8)}-${hex.slice(8)}-7000-8000-000000000000`;
}

/** A view at 100,000 ms on both clocks with one other entry. */
function viewOf(peer: { isAlive: boolean; heardAt: number }, startedAt = 0) {
  return {
    clock: createManualClock(100_000),
    startedAt,
    membership: { all: () => [peer as PeerView] },
  };
}

it("an entry that was lost after a key was made may have run it", () => {
  const view = viewOf({ isAlive: false, heardAt: 90_000 });
  expect(mayHaveLostTry(keyOf(80_000), view)).to.equal(true);
});

it("an entry that was lost before a key was made did not run it", () => {
  const view = viewOf({ isAlive: false, heardAt: 70_000 });
  expect(mayHaveLostTry(keyOf(80_000), view)).to.equal(false);
});

it("entries that are alive can be asked", () => {
  const view = viewOf({ isAlive: true, heardAt: 99_000 });
  expect(mayHaveLostTry(keyOf(80_000), view)).to.equal(false);
});

it("an earlier start of this entry may have run an older key", () => {
  const view = viewOf({ isAlive: true, heardAt: 99_000 }, 85_000);
  expect(mayHaveLostTry(keyOf(80_000), view)).to.equal(true);
});

it("a key that does not tell its age may be older than any loss", () => {
  const lost = viewOf({ isAlive: false, heardAt: 1_000 });
  expect(mayHaveLostTry("order-17", lost)).to.equal(true);
  const calm = viewOf({ isAlive: true, heardAt: 99_000 });
  expect(mayHaveLostTry("order-17", calm)).to.equal(false);
});

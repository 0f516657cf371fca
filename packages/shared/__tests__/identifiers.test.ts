import { expect } from "chai";
import { createIdentifier, extractKeyTime } from "../src/mod.ts";

it("identifiers: the time of a UUIDv7 key is its creation time", () => {
  const before = Date.now();
  const time = extractKeyTime(createIdentifier());
  expect(time).to.be.within(before, Date.now());
});

it("identifiers: keys other than UUIDv7 have no creation time", () => {
  expect(extractKeyTime("order-17")).to.equal(undefined);
  expect(extractKeyTime("9b2c1c1e-7d5f-4c8e-9a52-0d6a3f1f7c11")).to.equal(
    undefined,
  );
});

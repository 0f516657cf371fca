import { expect } from "chai";
import { createIdentifier, extractKeyTime } from "../src/mod.ts";

it("identifiers: the creation time is extracted from a UUIDv7 key", () => {
  const before = Date.now();
  const time = extractKeyTime(createIdentifier());
  expect(time).to.be.within(before, Date.now());
});

it("identifiers: a key other than a UUIDv7 has no creation time", () => {
  expect(extractKeyTime("order-17")).to.equal(undefined);
  expect(extractKeyTime("9b2c1c1e-7d5f-4c8e-9a52-0d6a3f1f7c11")).to.equal(
    undefined,
  );
});

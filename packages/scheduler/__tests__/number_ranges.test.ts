import { expect } from "chai";
import fc from "fast-check";
import { NumberRanges } from "../src/mod.ts";

it("number ranges: they behave like a set of numbers", () => {
  fc.assert(fc.property(fc.array(fc.nat(30)), (numbers) => {
    const ranges = new NumberRanges();
    const set = new Set(numbers);
    for (const number of numbers) ranges.add(number);
    expect(ranges.size).to.equal(set.size);
    for (let number = 0; number <= 31; number++) {
      expect(ranges.has(number)).to.equal(set.has(number));
      let absent = number;
      while (set.has(absent)) absent += 1;
      expect(ranges.nextAbsent(number)).to.equal(absent);
    }
    const copy = new NumberRanges(ranges.toList());
    expect(copy.toList()).to.deep.equal(ranges.toList());
    expect(copy.size).to.equal(set.size);
  }));
});

it("number ranges: consecutive numbers are one range", () => {
  const ranges = new NumberRanges([[0, 4], [6, 9]]);
  expect(ranges.rangeCount).to.equal(2);
  expect(ranges.add(5).toList()).to.deep.equal([[0, 9]]);
});

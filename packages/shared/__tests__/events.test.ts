import { expect } from "chai";
import { readFileSync } from "node:fs";
import { createEventLog, Events } from "../src/mod.ts";

const TABLE_FILE = new URL("../../../../docs/EVENTS.md", import.meta.url);

// Operators look events up in docs/EVENTS.md: a text or number changed in the
// code alone would send them to the wrong row.
it("events: the catalogue in the code equals the table in the docs", () => {
  const rows = readFileSync(TABLE_FILE, "utf8").split("\n")
    .map((line) => /^\| E(\d+) \| ([^|]+) \|/.exec(line))
    .filter((match) => match !== null)
    .map((match) => `${match[1]} ${match[2].trim()}`);
  const catalogue = Object.values(Events).map((event) =>
    `${event.number} ${event.text}`
  );
  expect(rows).to.deep.equal(catalogue);
});

it("events: numbers are unique", () => {
  const numbers = Object.values(Events).map((event) => event.number);
  expect(new Set(numbers).size).to.equal(numbers.length);
});

it("events: a line has the number, the text and the defined fields", () => {
  const lines: string[] = [];
  createEventLog("test", (line) => lines.push(line))(Events.peerLost, {
    peer: "a",
    zone: undefined,
  });
  expect(lines).to.deep.equal(['E1300 peer lost peer="a"']);
});

import { expect } from "chai";
import { InvalidError } from "@rattanhill/shared";
import { parseSettings } from "../src/mod.ts";

const VALID_SETTINGS = `
name: suva-e1
zone: suva
host: 127.0.0.1
ports: { callers: 8080, operators: 8081, peers: 8082 }
platform: { address: "127.0.0.1:9000" }
`;

function findFaults(text: string): readonly string[] {
  try {
    parseSettings(text, "file");
  } catch (error) {
    if (error instanceof InvalidError) return error.faults;
    throw error;
  }
  return [];
}

it("settings: omitted settings take their defaults", () => {
  const settings = parseSettings(VALID_SETTINGS, "file");
  expect(settings.timing.holdTtlMs).to.equal(2_000);
  expect(settings.peers).to.deep.equal([]);
});

it("settings: each fault names the path, what was expected and found", () => {
  const faults = findFaults(
    VALID_SETTINGS.replace("suva-e1", "Suva E1").replace("8080", '"x"') +
      "extra: 1\n",
  );
  expect(faults).to.have.length(3);
  expect(faults.join("\n")).to.match(/name: expected .*found "Suva E1"/);
  expect(faults.join("\n")).to.match(/ports.callers: .*found "x"/);
  expect(faults.join("\n")).to.contain("extra");
});

it("settings: contradictory time limits are rejected", () => {
  const faults = findFaults(VALID_SETTINGS + "timing: { suspicionMs: 500 }\n");
  expect(faults).to.have.length(1);
  expect(faults[0]).to.contain("timing.suspicionMs");
});

it("settings: text that is not YAML is rejected", () => {
  expect(findFaults("name: [")).to.not.have.length(0);
});

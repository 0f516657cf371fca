import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { expect } from "chai";
import { checkConfigFile } from "../src/config_commands.ts";
import { ExitCode } from "../src/exit_codes.ts";

const CONFIG = {
  version: 1,
  routes: [{ name: "a", host: "h", path_prefix: "/a/", service: "s" }],
  tenants: [{ name: "t", api_keys: ["k1"], guaranteed: { gpu: 4 } }],
};

// Guards against a script that sends a configuration with errors because the
// exit code does not tell.
it("config check: the exit code tells errors, warnings and missing files", () => {
  const directory = mkdtempSync(join(tmpdir(), "rattanhill-config-"));
  const texts: string[] = [];
  const output = {
    writeResult: (_value: object, text: string) => void texts.push(text),
    writeError: (text: string) => void texts.push(text),
    showProgress: () => () => {},
  };
  const write = (name: string, config: unknown) => {
    const file = join(directory, name);
    writeFileSync(file, JSON.stringify(config));
    return file;
  };
  try {
    const inForce = write("1.json", CONFIG);
    const next = write("2.json", { ...CONFIG, version: 2 });
    expect(checkConfigFile(inForce, {}, output)).to.equal(ExitCode.done);
    expect(checkConfigFile(next, { services: ["s", "x"] }, output))
      .to.equal(ExitCode.done);
    expect(checkConfigFile(next, { accelerators: 3 }, output))
      .to.equal(ExitCode.failed);
    expect(checkConfigFile(inForce, { against: inForce }, output))
      .to.equal(ExitCode.failed);
    expect(checkConfigFile(next, { against: inForce }, output))
      .to.equal(ExitCode.done);
    expect(texts.at(-1)).to.include("changed version: 1 -> 2");
    expect(checkConfigFile(write("3.json", 3), { against: inForce }, output))
      .to.equal(ExitCode.failed);
    const missing = join(directory, "none.json");
    expect(checkConfigFile(missing, {}, output)).to.equal(ExitCode.invalid);
    expect(checkConfigFile(next, { against: missing }, output))
      .to.equal(ExitCode.invalid);
  } finally {
    rmSync(directory, { recursive: true });
  }
});

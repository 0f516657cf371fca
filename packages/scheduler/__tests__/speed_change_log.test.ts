import { createManualClock, silentLogger } from "@rattanhill/shared";
import { expect } from "chai";
import { createSpeedChangeLog } from "../src/speed_change_log.ts";

// Guards against a log that grows with the number of workers while a new lead
// learns their speeds.
it("speed change log: a period has a limited number of lines", () => {
  const clock = createManualClock();
  const lines: unknown[] = [];
  const logChange = createSpeedChangeLog({
    now: clock.now,
    log: { ...silentLogger, info: (fields) => lines.push(fields) },
  });
  const change = { factor: 1.6, deviation: 0.1, speed: "slow" } as const;
  for (let index = 0; index < 50; index++) {
    logChange({ worker: `w${index}`, ...change });
  }
  expect(lines).to.have.length(20);
  clock.advance(10_000);
  logChange({ worker: "w50", ...change });
  expect(lines).to.have.length(21);
  expect(lines.at(-1)).to.deep.equal({ worker: "w50", ...change, omitted: 30 });
});

import { expect } from "chai";
import {
  createSystemClock,
  ErrorCode,
  type Milliseconds,
  pause,
  silentLogger,
  UnavailableError,
  UncertainError,
} from "@rattanhill/shared";
import type { Run, StartAnswer, WorkerState } from "@rattanhill/scheduler";
import {
  createWorkerLink,
  type HoldAnswer,
  type StartRefusal,
  type StartResult,
  type WorkerConnection,
  type WorkerLink,
} from "../src/mod.ts";

const CONTEXT = { step: "worker.call", peer: "w" };
const unanswered = new UncertainError(
  ErrorCode.workerUnreachable,
  "no response",
  CONTEXT,
);
const undelivered = new UnavailableError(
  ErrorCode.workerUnreachable,
  "connection failed",
  CONTEXT,
);
const STARTED: StartResult = { kind: "started", clock: 0 };
const refusedAs = (reason: StartRefusal): StartResult => ({
  kind: "refused",
  reason,
});
const POLL_INTERVAL_MS: Milliseconds = 20;
const TEST_TIMEOUT_MS: Milliseconds = 2_000;

const openLinks = new Set<WorkerLink>();

// An open link would keep the process of a failed test running.
afterEach(() => {
  for (const link of openLinks) link.close();
  openLinks.clear();
});

/** Waits until a condition holds, or fails after the time of a test. */
async function waitUntil(condition: () => boolean): Promise<void> {
  const clock = createSystemClock();
  const end = clock.now() + TEST_TIMEOUT_MS;
  while (!condition()) {
    if (clock.now() > end) throw new Error("condition not met in time");
    await pause(2);
  }
}

/** Opens a link to a worker that answers polls, and else as the test says. */
async function openLink(calls: Partial<WorkerConnection>) {
  const worker = {
    id: "w",
    lifetime: 1,
    tokenOffset: 0,
    pastLifetimes: new Set<number>(),
    runs: new Set<Run>(),
    leasesEndBy: 0,
    lastHandledEnd: 0,
    lastStoredEnd: 0,
  } as WorkerState;
  const job = { spec: { id: "job", payload: "" } };
  const step = { job, spec: {}, occurrence: 0, index: 0, key: "job.0.0" };
  const run = { step, index: 0, number: 1, worker, checkpoint: "" } as Run;
  worker.runs.add(run);
  const answers: [StartAnswer, string?][] = [];
  const warnings: string[] = [];
  let isLeading = true;
  let mayStart = true;
  let reports = 0;
  let lastReportAt: Milliseconds = 0;
  let replacements = 0;
  let silences = 0;
  let interruptions = 0;
  const link = createWorkerLink({
    worker,
    connection: {
      hold: async (): Promise<HoldAnswer> => {
        await pause(POLL_INTERVAL_MS);
        return { clock: 0, lifetime: 1, running: [], ended: [] };
      },
      start: () => Promise.resolve(STARTED),
      stop: () => Promise.resolve(true),
      close: () => Promise.resolve(),
      ...calls,
    },
    term: 1,
    clock: createSystemClock(),
    log: {
      ...silentLogger,
      warn: (_fields: unknown, message: string) => warnings.push(message),
    },
    isLeading: () => isLeading,
    mayStart: () => mayStart,
    onReport: () => {
      reports += 1;
      lastReportAt = performance.now();
    },
    onNoAnswer: () => silences += 1,
    onReplacement: () => replacements += 1,
    onStartAnswer: (_run, answer, reason) => answers.push([answer, reason]),
    onStartInterrupted: () => interruptions += 1,
    onStopAnswer: () => {},
  });
  openLinks.add(link);
  await waitUntil(() => reports > 0);
  return {
    link,
    run,
    worker,
    warnings,
    replacements: () => replacements,
    silences: () => silences,
    interruptions: () => interruptions,
    lastReportAt: () => lastReportAt,
    loseLead: () => isLeading = false,
    forbidStarts: () => mayStart = false,
    sendStop: () => {
      const task = { job: "job", occurrence: 0, step: 0, index: 0 };
      link.sendCommand({ kind: "stop", worker, task, number: 1, run });
    },
    /** Sends the start command; resolves to the answer that the lead gets. */
    start: async () => {
      link.sendCommand({ kind: "start", run });
      try {
        await waitUntil(() => answers.length > 0);
      } finally {
        link.close();
      }
      return answers;
    },
  };
}

/** Answers the attempts of a command one after another; errors are thrown. */
function inTurn<Answer>(...replies: (Answer | Error)[]) {
  return (): Promise<Answer> => {
    const reply = replies.shift()!;
    return reply instanceof Error
      ? Promise.reject(reply)
      : Promise.resolve(reply);
  };
}

// The first attempt was carried out after the second was refused: ran twice.
for (
  const reason of [
    "fenced",
    "superseded",
    "late",
    "noRoom",
    "noTicket",
    "unhealthy",
    "otherLifetime",
    "invalid",
  ] as const
) {
  it(`worker link: an unanswered start, then refused (${reason}), is uncertain`, async () => {
    const { start } = await openLink({
      start: inTurn<StartResult>(unanswered, refusedAs(reason)),
    });
    expect(await start()).to.deep.equal([["uncertain", reason]]);
  });
}

it("worker link: an unanswered start, then undelivered, is uncertain", async () => {
  const { start } = await openLink({
    start: inTurn<StartResult>(unanswered, undelivered),
  });
  expect(await start()).to.deep.equal([["uncertain", undefined]]);
});

it("worker link: an unanswered start, then confirmed, has started", async () => {
  const { start } = await openLink({
    start: inTurn<StartResult>(unanswered, STARTED),
  });
  expect(await start()).to.deep.equal([["started", undefined]]);
});

it("worker link: a start refused after an undelivered attempt is refused", async () => {
  const { start } = await openLink({
    start: inTurn<StartResult>(undelivered, refusedAs("superseded")),
  });
  expect(await start()).to.deep.equal([["refused", "superseded"]]);
});

it("worker link: an unanswered start is uncertain when leading ends", async () => {
  const { start, loseLead } = await openLink({
    start: () => {
      loseLead();
      return Promise.reject(unanswered);
    },
  });
  expect(await start()).to.deep.equal([["uncertain", undefined]]);
});

// Guards against a start in a zone that the operators evacuate after the command
// was queued, or between its attempts.
it("worker link: a start that is not allowed any more is not sent", async () => {
  let attempts = 0;
  const { start, forbidStarts } = await openLink({
    start: () => {
      attempts += 1;
      return Promise.resolve(STARTED);
    },
  });
  forbidStarts();
  expect(await start()).to.deep.equal([["refused", "not sent"]]);
  expect(attempts).to.equal(0);
});

for (
  const { name, error, answer } of [
    {
      name: "unanswered",
      error: unanswered,
      answer: ["uncertain", undefined],
    },
    {
      name: "undelivered",
      error: undelivered,
      answer: ["unhealthy", "undelivered"],
    },
  ]
) {
  it(`worker link: an ${name} start that is not allowed any more is not repeated`, async () => {
    let attempts = 0;
    const { start, forbidStarts } = await openLink({
      start: () => {
        attempts += 1;
        forbidStarts();
        return Promise.reject(error);
      },
    });
    expect(await start()).to.deep.equal([answer]);
    expect(attempts).to.equal(1);
  });
}

it("worker link: an unanswered start is uncertain when the link closes", async () => {
  const { start, link } = await openLink({
    start: () => {
      link.close();
      return Promise.reject(unanswered);
    },
  });
  expect(await start()).to.deep.equal([["uncertain", undefined]]);
});

it("worker link: a start refused once the link is closed is uncertain", async () => {
  const { start, link } = await openLink({
    start: () => {
      link.close();
      return Promise.resolve(refusedAs("noRoom"));
    },
  });
  expect(await start()).to.deep.equal([["uncertain", "noRoom"]]);
});

it("worker link: a start that was never delivered releases the run", async () => {
  const { start } = await openLink({
    start: inTurn<StartResult>(undelivered, undelivered),
  });
  expect(await start()).to.deep.equal([["unhealthy", "undelivered"]]);
});

it("worker link: an undelivered start, then unanswered, is uncertain", async () => {
  const { start } = await openLink({
    start: inTurn<StartResult>(undelivered, unanswered),
  });
  expect(await start()).to.deep.equal([["uncertain", undefined]]);
});

it("worker link: an undelivered start is uncertain when leading ends", async () => {
  const { start, loseLead } = await openLink({
    start: () => {
      loseLead();
      return Promise.reject(undelivered);
    },
  });
  expect(await start()).to.deep.equal([["uncertain", undefined]]);
});

// A dead worker was sent 78 stops within seconds, with a log line for each.
it("worker link: a stop to a silent worker is repeated ever less often", async () => {
  const sentAt: Milliseconds[] = [];
  let isDead = false;
  const { sendStop, link, warnings } = await openLink({
    hold: async () => {
      await pause(POLL_INTERVAL_MS);
      if (isDead) throw unanswered;
      return { clock: 0, lifetime: 1, running: [], ended: [] };
    },
    stop: () => {
      sentAt.push(performance.now());
      return Promise.reject(unanswered);
    },
  });
  isDead = true;
  sendStop();
  await pause(1_900);
  link.close();
  const pauses = sentAt.slice(1).map((at, index) => at - sentAt[index]);
  expect(pauses.length).to.equal(3);
  expect(pauses[1]).to.be.greaterThan(1.5 * pauses[0]);
  expect(pauses[2]).to.be.greaterThan(1.5 * pauses[1]);
  const stopWarnings = warnings.filter((text) => text.startsWith("stop"));
  expect(stopWarnings).to.deep.equal(["stop command not answered"]);
});

it("worker link: a lost stop to a worker that answers is repeated soon", async () => {
  const sentAt: Milliseconds[] = [];
  const { sendStop, link } = await openLink({
    stop: () => {
      sentAt.push(performance.now());
      return Promise.reject(unanswered);
    },
  });
  sendStop();
  await pause(1_100);
  link.close();
  expect(sentAt.length).to.equal(5);
});

for (const kind of ["waits", "is being sent"]) {
  it(`worker link: a stop that ${kind} goes out once the worker answers again`, async () => {
    let isDead = false;
    let revivedAt: Milliseconds = 0;
    let delayMs: Milliseconds | undefined;
    let stops = 0;
    const { sendStop, link } = await openLink({
      hold: async () => {
        await pause(POLL_INTERVAL_MS);
        if (isDead) throw unanswered;
        return { clock: 0, lifetime: 1, running: [], ended: [] };
      },
      stop: async () => {
        stops += 1;
        if (isDead) {
          if (kind === "is being sent" && stops === 3) {
            await waitUntil(() => !isDead);
            await pause(400);
          }
          throw unanswered;
        }
        delayMs = performance.now() - revivedAt;
        return true;
      },
    });
    isDead = true;
    sendStop();
    await waitUntil(() => stops === 3);
    await pause(kind === "waits" ? 50 : 0);
    isDead = false;
    revivedAt = performance.now();
    await pause(900);
    link.close();
    expect(delayMs).to.be.lessThan(600);
  });
}

// Guards against a worker whose leases expire, since each lost answer delays the
// next poll by its whole time limit.
it("worker link: one lost answer hardly delays the recovery of a worker", async () => {
  let polls = 0;
  const { lastReportAt, silences } = await openLink({
    hold: async ({ timeoutMs }) => {
      polls += 1;
      if (polls === 2) throw unanswered;
      await pause(polls === 3 ? timeoutMs : POLL_INTERVAL_MS);
      if (polls === 3) throw unanswered;
      return { clock: 0, lifetime: 1, running: [], ended: [] };
    },
  });
  await waitUntil(() => silences() > 0);
  const silentAt = performance.now();
  await waitUntil(() => lastReportAt() > silentAt);
  expect(performance.now() - silentAt).to.be.lessThan(1_200);
  expect(silences()).to.equal(1);
});

it("worker link: a stop in waiting ends with the link", async () => {
  let stops = 0;
  const { sendStop, link } = await openLink({
    stop: () => {
      stops += 1;
      return Promise.reject(unanswered);
    },
  });
  sendStop();
  await waitUntil(() => stops === 1);
  link.close();
  await pause(400);
  expect(stops).to.equal(1);
});

it("worker link: an answer of another worker at the address is reported", async () => {
  let isReplaced = false;
  const { link, replacements } = await openLink({
    hold: async () => {
      await pause(POLL_INTERVAL_MS);
      if (isReplaced) return undefined;
      return { clock: 0, lifetime: 1, running: [], ended: [] };
    },
  });
  expect(replacements()).to.equal(0);
  isReplaced = true;
  await waitUntil(() => replacements() > 0);
  link.close();
});

// The worker restarts while its answer is on the way.
it("worker link: a start confirmed by an earlier lifetime is uncertain", async () => {
  const { start, worker } = await openLink({
    start: () => {
      worker.lifetime += 1;
      return Promise.resolve(STARTED);
    },
  });
  expect(await start()).to.deep.equal([["uncertain", undefined]]);
});

it("worker link: a start confirmed by a restarted worker is uncertain", async () => {
  const { start } = await openLink({
    hold: async () => {
      await pause(POLL_INTERVAL_MS);
      return { clock: 5_000, lifetime: 1, running: [], ended: [] };
    },
    start: () => Promise.resolve({ kind: "started", clock: 100 }),
  });
  expect(await start()).to.deep.equal([["uncertain", undefined]]);
});

it("worker link: a start whose connection ends was interrupted", async () => {
  const { start, interruptions } = await openLink({
    start: () => Promise.reject(unanswered),
  });
  await start();
  expect(interruptions()).to.be.above(0);
});

it("worker link: a start with an unusable answer was not interrupted", async () => {
  const unusable = new UncertainError(
    ErrorCode.workerRefused,
    "worker responded with unexpected status 500",
    CONTEXT,
  );
  const { start, interruptions } = await openLink({
    start: () => Promise.reject(unusable),
  });
  await start();
  expect(interruptions()).to.equal(0);
});

it("worker link: a start that the closing link breaks off was not interrupted", async () => {
  const { link, run, interruptions } = await openLink({
    start: async () => {
      await pause(POLL_INTERVAL_MS);
      throw unanswered;
    },
  });
  link.sendCommand({ kind: "start", run });
  await pause(POLL_INTERVAL_MS / 2);
  link.close();
  await pause(2 * POLL_INTERVAL_MS);
  expect(interruptions()).to.equal(0);
});

it("worker link: a stop acknowledged by an earlier lifetime is repeated", async () => {
  let stops = 0;
  const { sendStop, link, worker } = await openLink({
    stop: () => {
      stops += 1;
      if (stops === 1) worker.lifetime += 1;
      return Promise.resolve(true);
    },
  });
  sendStop();
  await waitUntil(() => stops === 2);
  link.close();
});

// A restarted worker's clock starts anew, so it shortens a lease by its earlier
// clock to the longest one.
it("worker link: a lease by the clock of an earlier lifetime is waited for", async () => {
  const longestLeaseMs = 10_000 / 0.98;
  const openedAt = createSystemClock().now();
  const { link, worker } = await openLink({});
  await waitUntil(() => worker.leasesEndBy > 0);
  link.close();
  expect(worker.leasesEndBy - openedAt).to.be.at.least(longestLeaseMs);
});

it("worker link: an answer at the address of an earlier lifetime ends no other", async () => {
  let polls = 0;
  const { worker, replacements } = await openLink({
    hold: async () => {
      await pause(POLL_INTERVAL_MS);
      polls += 1;
      if (polls === 1) {
        return { clock: 0, lifetime: 1, running: [], ended: [] };
      }
      if (polls === 2) worker.lifetime += 1;
      return polls === 2 ? undefined : await new Promise(() => {});
    },
  });
  await waitUntil(() => polls >= 2);
  await pause(2 * POLL_INTERVAL_MS);
  expect(replacements()).to.equal(0);
});

it("worker link: closing a link is no silence of its worker", async () => {
  let polls = 0;
  let breakOff: (() => void) | undefined;
  const { link, silences } = await openLink({
    hold: () => {
      polls += 1;
      if (polls < 3) {
        return Promise.resolve({
          clock: 0,
          lifetime: 1,
          running: [],
          ended: [],
        });
      }
      return new Promise((_, reject) => breakOff = () => reject(unanswered));
    },
    close: () => {
      breakOff?.();
      return Promise.resolve();
    },
  });
  await waitUntil(() => breakOff !== undefined);
  link.close();
  await pause(POLL_INTERVAL_MS);
  expect(silences()).to.equal(0);
});

// Guards against a repeated start that its worker must reject.
it("worker link: a start is not repeated after its ticket has expired", async () => {
  const tickets: (string | undefined)[] = [];
  const { run, start } = await openLink({
    start: async ({ ticket }) => {
      tickets.push(ticket);
      await pause(200);
      throw unanswered;
    },
  });
  const now = createSystemClock().now();
  run.ticket = {
    text: "t",
    lifetime: 1,
    placeUntil: now,
    sendUntil: now + 100,
  };
  expect(await start()).to.deep.equal([["uncertain", undefined]]);
  expect(tickets).to.deep.equal(["t"]);
});

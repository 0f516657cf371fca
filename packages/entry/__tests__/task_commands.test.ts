import { expect } from "chai";
import {
  createSystemClock,
  ErrorCode,
  pause,
  RefusedError,
  UncertainError,
} from "@rattanhill/shared";
import { createTaskCommands } from "../src/task_commands.ts";

it("task commands: a refused repetition of an unanswered run is no proof", async () => {
  const replies: Error[] = [
    new UncertainError(ErrorCode.workerUnreachable, "no response", {
      step: "worker.run",
      peer: "w",
    }),
    new RefusedError(ErrorCode.workerRefused, "refused, status 400", {
      step: "worker.run",
      peer: "w",
      reason: "damaged-payload",
    }),
  ];
  const client = {
    run: () => {
      const error = replies.shift();
      // Any further attempt learns that the first one was carried out.
      return error === undefined
        ? Promise.resolve({ boot: "b", sequence: 1, state: "running" })
        : Promise.reject(error);
    },
  };
  const sent: string[] = [];
  const commands = createTaskCommands({
    timing: { workerLostMs: 1_000, holdTtlMs: 1_000 },
    clock: createSystemClock(),
    log: () => {},
    links: {
      getClient: () => client,
      follow: () => {},
      unfollow: () => {},
      isFollowed: () => false,
    },
  } as never);
  commands.perform(
    {
      spec: { shape: { parts: 1 }, repeatable: false },
      payload: "p",
      send: ({ kind }: { kind: string }) => sent.push(kind),
    } as never,
    {
      kind: "run",
      attempt: 1,
      part: 0,
      target: { worker: "w", address: "w", lease: "l", boot: "b" },
    } as never,
  );
  for (let t = 0; t < 3_000 && sent.length === 0; t += 20) await pause(20);
  expect(sent).to.deep.equal(["part-running"]);
});

const GANG_WORKERS = ["w0", "w1"];

/**
 * Stops all parts of a gang job.
 *
 * @param statesOf states that a worker returns, one for each operation; the
 * last one is repeated
 * @param phase phase of the parts that the owner knows of
 * @returns operations by worker, such as `w0 stop`, in their order
 */
async function stopGang(
  statesOf: Record<string, string[]>,
  phase = "running",
): Promise<string[]> {
  const operations: string[] = [];
  const sent: string[] = [];
  const getClient = (worker: string) => {
    const perform = (operation: string) => () => {
      operations.push(`${worker} ${operation}`);
      const states = statesOf[worker];
      const state = states.length > 1 ? states.shift() : states[0];
      return Promise.resolve({ boot: "b", sequence: 1, state });
    };
    return {
      pause: perform("pause"),
      continue: perform("continue"),
      inspect: perform("inspect"),
      stop: perform("stop"),
      fetchAnswer: () => Promise.resolve("answer"),
    };
  };
  const commands = createTaskCommands({
    timing: { workerLostMs: 1_000, holdTtlMs: 1_000 },
    clock: createSystemClock(),
    log: () => {},
    links: { getClient, unfollow: () => {} },
  } as never);
  const parts = GANG_WORKERS.map((worker) => ({
    worker,
    address: worker,
    lease: `lease of ${worker}`,
    boot: "b",
    phase,
  }));
  const request = {
    spec: { shape: { parts: 2 }, repeatable: true },
    state: { parts },
    send: ({ kind }: { kind: string }) => sent.push(kind),
  };
  parts.forEach((target, part) =>
    commands.perform(
      request as never,
      { kind: "stop", attempt: 1, part, target } as never,
    )
  );
  for (let t = 0; t < 5_000 && sent.length < 2; t += 20) await pause(20);
  return operations;
}

it("task commands: the parts of a gang job are stopped after all were paused", async () => {
  const operations = await stopGang({ w0: ["running"], w1: ["running"] });
  expect(operations.slice(0, 2)).to.have.members(["w0 pause", "w1 pause"]);
  expect(operations.slice(2)).to.have.members(["w0 stop", "w1 stop"]);
});

it("task commands: a gang job of which a part has ended is left to end", async () => {
  const operations = await stopGang({
    w0: ["ended"],
    // Its states at the pause, at the continuation and at two inspections.
    w1: ["running", "running", "running", "ended"],
  });
  const ofWorker = operations.filter((name) => name.startsWith("w1"));
  expect(ofWorker.slice(0, 4)).to.deep.equal([
    "w1 pause",
    "w1 continue",
    "w1 inspect",
    "w1 inspect",
  ]);
});

it("task commands: a gang part that does not end after the others is stopped", async () => {
  const operations = await stopGang({ w0: ["ended"], w1: ["running"] });
  expect(operations).to.include.members(["w1 stop"]);
});

it("task commands: a gang job of which a part has ended before others started is left to end", async () => {
  const operations = await stopGang({
    w0: ["ended"],
    w1: ["ready", "ready", "ready", "running", "ended"],
  }, "sent");
  const ofWorker = operations.filter((name) => name.startsWith("w1"));
  expect(ofWorker.slice(1)).to.deep.equal([
    "w1 continue",
    "w1 inspect",
    "w1 inspect",
    "w1 inspect",
    "w1 stop",
  ]);
});

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

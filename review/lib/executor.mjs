// Stand-in of an executor, as PROTOCOL.md describes it: it guards its capacity,
// grants leases, numbers the ends of runs, and registers itself in the store.
import { createServer } from "node:http";

export const HEARTBEAT_MS = 1_500;
const LIVENESS_INTERVALS = 3;
const MAXIMUM_LEASE_MS = 10_000;
const MAXIMUM_WAIT_MS = 2_000;
const MAXIMUM_ENDS_PER_ANSWER = 500;
// Time that a stop takes here; the bound of the site is longer.
const STOP_MS = 150;
// Time from the start of a subtask that lasts until it is at work.
const STARTUP_MS = 300;

let nextInstance = 1;

/**
 * Creates an executor on a machine.
 *
 * @param options.store the store that it registers in
 * @param options.machine name of its machine
 * @param options.findWork gives, by the name of a subtask, its room and the time
 * that it works: `{ cpu, mem_mb, gpu, workMs }`; without a time, it lasts
 * @param options.isTicketValid tells whether a ticket, or none, is enough to start
 * a subtask here; undefined where no queue has advice
 * @param options.onEvent called with each start and end of a run
 */
export async function startExecutor(
  { store, machine, service, zone, rack, findWork, onEvent, isTicketValid },
) {
  const capacity = { cpu: 32_000, mem_mb: 65_536, gpu: 8 };
  let life;
  let sequence = 0;
  /** Timers that remove the entry of a silent life, by its id. */
  const lapseTimers = new Map();
  const connections = new Set();
  /** Connections that are held up by a partition, with what they brought. */
  let heldCalls = [];

  const clock = () => Math.floor(performance.now() - life.startedAt);
  const entryOf = (state) => ({
    service,
    address: executor.address,
    zone,
    version: "v1",
    slots: 8,
    state,
    cold_remaining_ms: 0,
    sequence: ++sequence,
    machine,
    born: life.born,
    capacity,
    labels: ["a", rack],
    clock_ms: clock(),
  });
  const sendHeartbeat = () => {
    if (executor.isUp) {
      store.write("keyed.servers", life.id, entryOf("ready"));
      const { id } = life;
      clearTimeout(lapseTimers.get(id));
      lapseTimers.set(
        id,
        setTimeout(
          () => store.drop("keyed.servers", id),
          LIVENESS_INTERVALS * HEARTBEAT_MS,
        ),
      );
    }
  };

  const startLife = (id) => {
    life = {
      id,
      born: Math.max(Date.now(), (life?.born ?? 0) + 1),
      startedAt: performance.now(),
      fencingToken: 0,
      runs: new Map(),
      /** Highest number of each subtask that must not start any more. */
      barred: new Map(),
      ends: [],
      lastEnd: 0,
      leaseUntil: 0,
      leaseTimer: undefined,
      waiting: new Set(),
    };
    executor.isUp = true;
    sendHeartbeat();
  };

  const wakeHolds = () => {
    for (const wake of [...life.waiting]) wake();
  };
  const endRun = (run, how) => {
    const owner = run.life;
    if (owner !== life || !owner.runs.delete(run.task)) return;
    clearTimeout(run.timer);
    owner.barred.set(
      run.task,
      Math.max(run.number, owner.barred.get(run.task) ?? 0),
    );
    owner.lastEnd += 1;
    owner.ends.push([owner.lastEnd, run.task, run.number, how, ""]);
    onEvent({
      kind: "end",
      executor: owner.id,
      task: run.task,
      run: run.number,
      how,
    });
    wakeHolds();
  };
  const extendLease = (deadline) => {
    life.leaseUntil = Math.max(
      life.leaseUntil,
      Math.min(deadline, clock() + MAXIMUM_LEASE_MS),
    );
    const owner = life;
    clearTimeout(owner.leaseTimer);
    owner.leaseTimer = setTimeout(() => {
      if (owner !== life) return;
      for (const run of [...owner.runs.values()]) endRun(run, "lapsed");
    }, Math.max(0, owner.leaseUntil - clock()));
  };
  const hasRoom = (work) => {
    const used = { cpu: 0, mem_mb: 0, gpu: 0 };
    for (const run of life.runs.values()) {
      for (const name of Object.keys(used)) used[name] += run.work[name];
    }
    return Object.keys(used).every((name) =>
      used[name] + work[name] <= capacity[name]
    );
  };

  const startRun = ({ task, run: number, spec, deadline_ms, ticket }) => {
    const known = life.runs.get(task);
    if (known?.number === number) return [200, {}];
    if (deadline_ms <= clock()) return [409, { reason: "late" }];
    extendLease(deadline_ms);
    if ((life.barred.get(task) ?? 0) >= number || known !== undefined) {
      return [409, { reason: "old" }];
    }
    const work = findWork(task);
    if (work === undefined) return [400, {}];
    if (isTicketValid?.(ticket, task, life.id) === false) {
      onEvent({
        kind: ticket === undefined
          ? "start without a ticket rejected"
          : "start with an invalid ticket rejected",
        executor: life.id,
        task,
        run: number,
      });
      return [409, { reason: "ticket" }];
    }
    if (!hasRoom(work)) return [409, { reason: "room" }];
    const run = { task, number, work, life, startedAt: clock() };
    // A subtask that lasts has no time of its own.
    if (work.workMs !== undefined) {
      run.timer = setTimeout(() => endRun(run, "done"), work.workMs);
    }
    life.runs.set(task, run);
    onEvent({ kind: "start", executor: life.id, task, run: number, spec });
    return [200, {}];
  };
  const stopRun = ({ task, run: number }) => {
    life.barred.set(task, Math.max(number, life.barred.get(task) ?? 0));
    const run = life.runs.get(task);
    onEvent({ kind: "stop", executor: life.id, task, run: number });
    if (run?.number === number) {
      setTimeout(() => endRun(run, "stopped"), STOP_MS);
    }
    return [200, {}];
  };
  const percentOf = ({ startedAt, work: { workMs } }) => {
    const ranMs = clock() - startedAt;
    if (workMs === undefined) return ranMs < STARTUP_MS ? 0 : 100;
    return Math.min(99, Math.floor(100 * ranMs / workMs));
  };
  const hold = async ({ deadline_ms, last_seen = 0, wait_ms = 0 }) => {
    const owner = life;
    if (deadline_ms !== undefined) extendLease(deadline_ms);
    owner.ends = owner.ends.filter(([position]) => position > last_seen);
    if (owner.ends.length === 0 && wait_ms > 0) {
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          owner.waiting.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, Math.min(wait_ms, MAXIMUM_WAIT_MS));
        owner.waiting.add(wake);
      });
    }
    return [200, {
      running: [...owner.runs.values()].map((run) => [
        run.task,
        run.number,
        "",
        percentOf(run),
        run.work.cpu,
      ]),
      ended: owner.ends.slice(0, MAXIMUM_ENDS_PER_ANSWER),
    }];
  };

  const handle = async (path, headers, body) => {
    const expected = headers["rattanhill-expect-instance"];
    if (expected !== undefined && expected !== life.id) return [421, {}];
    if ((body.fencing_token ?? 0) < life.fencingToken) {
      return [409, { reason: "fence" }];
    }
    if (executor.isUnhealthy && path === "/run-start") {
      onEvent({
        kind: "start rejected with 503",
        executor: life.id,
        task: body.task,
        run: body.run,
      });
      return [503, {}];
    }
    life.fencingToken = body.fencing_token ?? 0;
    if (path === "/run-start") return startRun(body);
    if (path === "/run-stop") return stopRun(body);
    if (path === "/hold") return await hold(body);
    return [404, {}];
  };

  const server = createServer((request, response) => {
    const chunks = [];
    response.on("error", () => {});
    request.on("error", () => {});
    request.on("data", (chunk) => chunks.push(chunk));
    request.on("end", async () => {
      // What a partition holds up arrives when it heals, unless its sender has
      // closed the connection.
      while (executor.isCut) {
        await new Promise((resolve) => heldCalls.push(resolve));
      }
      if (response.destroyed) return;
      const owner = life;
      const text = Buffer.concat(chunks).toString();
      const [status, answer] = await handle(
        request.url,
        request.headers,
        text === "" ? {} : JSON.parse(text),
      );
      while (executor.isCut) {
        await new Promise((resolve) => heldCalls.push(resolve));
      }
      if (response.destroyed || owner !== life || !executor.isUp) return;
      const reply = JSON.stringify({
        clock_ms: clock(),
        born: life.born,
        ...answer,
      });
      response.writeHead(status, {
        "content-type": "application/json",
        "content-length": Buffer.byteLength(reply),
      }).end(reply);
    });
  });
  server.keepAliveTimeout = 60_000;
  server.on("connection", (socket) => {
    connections.add(socket);
    socket.on("error", () => {});
    socket.on("close", () => connections.delete(socket));
  });
  const listen = (port) =>
    new Promise((resolve, reject) => {
      server.once("error", reject);
      server.listen(port, "127.0.0.1", resolve);
    });
  await listen(0);
  const { port } = server.address();

  const executor = {
    machine,
    address: `127.0.0.1:${port}`,
    isUp: false,
    /** Refuses starts with 503 and does nothing, while it answers polls. */
    isUnhealthy: false,
    /** Neither receives nor sends anything, as behind a partition. */
    isCut: false,
    id: () => life.id,
    runs: () =>
      [...life.runs.values()].map(({ task, number }) => ({ task, number })),
    /** Ends a subtask that runs here as `done` or `failed`. */
    end: (task, how) => endRun(life.runs.get(task), how),
    heal: () => {
      executor.isCut = false;
      const held = heldCalls;
      heldCalls = [];
      for (const resume of held) resume();
    },
    /** Crashes: all that runs there is gone, and its port refuses connections. */
    crash: () => {
      executor.isUp = false;
      for (const run of life.runs.values()) {
        clearTimeout(run.timer);
        onEvent({
          kind: "end",
          executor: life.id,
          task: run.task,
          run: run.number,
          how: "lost in a crash",
        });
      }
      life.runs.clear();
      clearTimeout(life.leaseTimer);
      server.close();
      for (const socket of connections) socket.resetAndDestroy();
    },
    /** Comes up again at its address, as another life of its machine. */
    restart: async () => {
      await listen(port);
      startLife(`i-${machine}-${nextInstance++}`);
    },
    close: () => {
      clearInterval(heartbeatTimer);
      for (const timer of lapseTimers.values()) clearTimeout(timer);
      clearTimeout(life.leaseTimer);
      for (const run of life.runs.values()) clearTimeout(run.timer);
      server.close();
      for (const socket of connections) socket.destroy();
    },
  };
  startLife(`i-${machine}-${nextInstance++}`);
  const heartbeatTimer = setInterval(sendHeartbeat, HEARTBEAT_MS);
  return executor;
}

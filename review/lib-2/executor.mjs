// Stand-in of an executor, as PROTOCOL.md describes it under "Running subtasks"
// and "Service discovery". Subtasks take the time that their payload names.
import { listen, readBody, sendJson } from "./http.mjs";

export const HEARTBEAT_MS = 1_500;
const HOLD_MAX_MS = 10_000;
const MAXIMUM_WAIT_MS = 2_000;
const MAXIMUM_ENDS = 500;
const STOP_MS = 50;
const CHECKPOINT_INTERVAL_MS = 1_000;
const RESTORE_MS = 250;

/**
 * Starts an executor.
 *
 * @param options its id, machine, service, labels and capacity, the store, and
 * `onEvent`, which is told of each start and end
 */
export async function startExecutor(options) {
  const { id, machine, service, zone = "z0", labels, store } = options;
  const { capacity, onEvent } = options;
  let life;
  let isCut = false;
  let sequence = 0;

  const beginLife = () => {
    const born = Math.max(Date.now(), (life?.born ?? 0) + 1);
    life = {
      born,
      startedAt: performance.now(),
      fencingToken: 0,
      leaseUntil: 0,
      runs: new Map(),
      refusedUpTo: new Map(),
      ended: [],
      lastEnd: 0,
      waiting: new Set(),
      isUp: true,
    };
    return life;
  };
  const clockOf = (of) => Math.floor(performance.now() - of.startedAt);
  const used = (of, field) =>
    [...of.runs.values()].reduce((sum, run) => sum + run.needs[field], 0);

  const endRun = (of, run, how) => {
    clearTimeout(run.timer);
    if (of.runs.get(run.task) !== run) return;
    of.runs.delete(run.task);
    const refused = of.refusedUpTo.get(run.task) ?? 0;
    of.refusedUpTo.set(run.task, Math.max(refused, run.run));
    of.lastEnd += 1;
    of.ended.push([of.lastEnd, run.task, run.run, how, savedOf(run)]);
    onEvent({ executor: id, born: of.born, event: how, ...nameOf(run) });
    for (const wake of of.waiting) wake();
  };
  const nameOf = ({ task, run }) => ({ task, run });
  /** Work done, in ms; a run that carries a checkpoint resumes from there. */
  const doneOf = ({ at, from }) => from + Math.max(0, performance.now() - at);
  /** The newest checkpoint: 16 hexadecimal digits, as in the example. */
  const savedOf = (run) => {
    if (!run.saves) return "";
    const done = Math.max(run.from, doneOf(run));
    const saved = Math.floor(done / CHECKPOINT_INTERVAL_MS) *
      CHECKPOINT_INTERVAL_MS;
    return saved > 0 ? saved.toString(16).padStart(16, "0") : "";
  };

  const extendLease = (of, deadline) => {
    if (typeof deadline !== "number") return;
    const latest = clockOf(of) + HOLD_MAX_MS;
    of.leaseUntil = Math.max(of.leaseUntil, Math.min(deadline, latest));
    clearTimeout(of.leaseTimer);
    of.leaseTimer = setTimeout(() => {
      for (const run of [...of.runs.values()]) endRun(of, run, "lapsed");
    }, Math.max(0, of.leaseUntil - clockOf(of)));
  };

  const start = (of, body) => {
    const { task, run, spec, deadline_ms: deadline } = body;
    if (of.runs.get(task)?.run === run) return extendLease(of, deadline);
    if ((of.refusedUpTo.get(task) ?? 0) >= run) {
      extendLease(of, deadline);
      return "old";
    }
    if (!(deadline > clockOf(of))) return "late";
    // The payload names the needs and the duration of each subtask, and whether
    // it saves checkpoints.
    const { ms, cpu, gpu, saves = false } = JSON.parse(spec);
    const needs = { cpu, gpu };
    const hasRoom = ["cpu", "gpu"].every((field) =>
      used(of, field) + needs[field] <= capacity[field]
    );
    extendLease(of, deadline);
    if (!hasRoom) return "room";
    const from = body.checkpoint ? Number.parseInt(body.checkpoint, 16) : 0;
    const restoreMs = from > 0 ? RESTORE_MS : 0;
    const at = performance.now() + restoreMs;
    const begun = { task, run, needs, at, from, ms, saves };
    begun.timer = setTimeout(
      () => endRun(of, begun, "done"),
      restoreMs + ms - from,
    );
    of.runs.set(task, begun);
    onEvent({ executor: id, born: of.born, event: "begun", task, run, spec });
  };

  const stop = (of, { task, run }) => {
    const current = of.runs.get(task);
    const refused = of.refusedUpTo.get(task) ?? 0;
    of.refusedUpTo.set(task, Math.max(refused, run));
    if (current?.run !== run) return;
    clearTimeout(current.timer);
    setTimeout(() => of.isUp && endRun(of, current, "stopped"), STOP_MS);
  };

  const hold = async (of, body) => {
    extendLease(of, body.deadline_ms);
    of.ended = of.ended.filter(([position]) => {
      if (position > body.last_seen) return true;
      onEvent({ executor: id, born: of.born, event: "noted", position });
      return false;
    });
    const waitMs = Math.min(body.wait_ms ?? 0, MAXIMUM_WAIT_MS);
    const until = performance.now() + waitMs;
    while (of.ended.length === 0 && performance.now() < until && of.isUp) {
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          of.waiting.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, until - performance.now());
        of.waiting.add(wake);
      });
    }
    const running = [...of.runs.values()].map((run) => [
      run.task,
      run.run,
      savedOf(run),
      Math.min(99, Math.floor(100 * doneOf(run) / run.ms)),
      run.needs.cpu,
    ]);
    return { running, ended: of.ended.slice(0, MAXIMUM_ENDS) };
  };

  const handle = async (request, response) => {
    const of = life;
    const body = JSON.parse((await readBody(request)).toString() || "{}");
    // Nothing passes while the executor is cut off; no channel is reset.
    if (isCut) return;
    const expected = request.headers["rattanhill-expect-instance"];
    if (expected !== undefined && expected !== id) {
      return sendJson(response, 421, { clock_ms: clockOf(of), born: of.born });
    }
    const answer = (status, fields = {}) => {
      if (isCut || !of.isUp) return;
      sendJson(response, status, {
        clock_ms: clockOf(of),
        born: of.born,
        ...fields,
      });
    };
    if ((body.fencing_token ?? 0) < of.fencingToken) {
      return answer(409, { reason: "fence" });
    }
    of.fencingToken = body.fencing_token ?? 0;
    if (request.url === "/hold") return answer(200, await hold(of, body));
    if (request.url === "/run-start") {
      const reason = start(of, body);
      return reason === undefined ? answer(200) : answer(409, { reason });
    }
    if (request.url === "/run-stop") {
      stop(of, body);
      return answer(200);
    }
    sendJson(response, 404, {});
  };

  let { server, address } = await listen(handle);
  const port = server.address().port;
  const report = () => {
    if (!life.isUp) return;
    sequence += 1;
    store.write(
      "keyed.servers",
      id,
      JSON.stringify({
        service,
        address,
        zone,
        machine,
        version: "v1",
        slots: 8,
        state: "ready",
        cold_remaining_ms: 0,
        capacity,
        labels,
        born: life.born,
        clock_ms: clockOf(life),
        sequence,
      }),
    );
  };
  beginLife();
  report();
  let silentBeats = 0;
  const heartbeat = setInterval(() => {
    if (life.isUp) {
      silentBeats = 0;
      return report();
    }
    silentBeats += 1;
    // The platform removes the entry after three intervals of silence.
    if (silentBeats === 3) store.write("keyed.servers", id, "");
  }, HEARTBEAT_MS);

  return {
    id,
    /** The process ends at once; its channels are reset. */
    crash: () => {
      const of = life;
      if (!of.isUp) return;
      of.isUp = false;
      clearTimeout(of.leaseTimer);
      for (const run of of.runs.values()) {
        clearTimeout(run.timer);
        onEvent({ executor: id, born: of.born, event: "gone", ...nameOf(run) });
      }
      of.runs.clear();
      for (const wake of of.waiting) wake();
      server.close();
      server.closeAllConnections();
      onEvent({ executor: id, born: of.born, event: "crash" });
    },
    /** Starts a new life under the same id and address. */
    restart: async () => {
      beginLife();
      ({ server, address } = await listen(handle, port));
      onEvent({ executor: id, born: life.born, event: "restart" });
      report();
    },
    /** Cuts the executor off from the machines of the system, or heals it. */
    setCut: (value) => {
      isCut = value;
      onEvent({ executor: id, event: value ? "cut off" : "reachable" });
      // Channels on which a call was lost stay silent; a new one works.
    },
    close: () => {
      clearInterval(heartbeat);
      clearTimeout(life.leaseTimer);
      for (const { timer } of life.runs.values()) clearTimeout(timer);
      life.isUp = false;
      for (const wake of life.waiting) wake();
      server.closeAllConnections();
      server.close();
    },
  };
}

import { createManualClock, silentLogger } from "@rattanhill/shared";
import {
  createJobBook,
  createScheduler,
  decodeRecord,
  encodeRecord,
  type Order,
  type RecordBatch,
  type Scheduler,
  taskOf,
  type WorkerState,
} from "../src/mod.ts";
import { job, queue, step } from "./cell_fixture.ts";
import { createFakeWorker, type FakeWorker, nameOf } from "./fake_worker.ts";

/** One thing that happens; `pick` chooses among what it can happen to. */
export interface ModelEvent {
  kind: typeof EVENT_KINDS[number];
  pick: number;
}

export const EVENT_KINDS = [
  "plan",
  "store",
  "storeAnswerLost",
  "deliver",
  "deliverLate",
  "loseAnswer",
  "look",
  "done",
  "failed",
  "advance",
  "takeover",
  "restart",
] as const;

/** Faults that the model must catch. */
export type PlantedFault =
  | "orderBeforeStored"
  | "acknowledgedBeforeStored"
  | "takeoverWithoutWait"
  | "ordersAfterLease";

interface Lead {
  term: number;
  scheduler: Scheduler;
  /** Orders that were not sent yet. */
  orders: Order[];
  /** End of its lease; nothing is sent after it. */
  leaseEnd: number;
  batch?: RecordBatch;
}

/** A call that may still reach its worker. */
interface Call {
  lead: Lead;
  order: Order;
  leaseUntil: number;
  hasTimedOut: boolean;
}

const LEAD_LEASE_MS = 2_000;
const WORKER_LEASE_MS = 9_700;
const INHERITED_MS = 10_300;

/**
 * Plays a series of events on two successive leads, a store and workers.
 *
 * @param events what happens, in order
 * @param fault a fault to plant
 * @returns broken promises
 */
export function playTakeovers(
  events: readonly ModelEvent[],
  fault?: PlantedFault,
): string[] {
  const clock = createManualClock(100_000);
  const broken: string[] = [];
  const stored = new Map<string, string>();
  let storeTerm = 0;
  const workers = new Map<string, FakeWorker>();
  for (const id of ["w0", "w1"]) workers.set(id, createFakeWorker(id));
  /** Tasks whose end was acknowledged, or is stored. */
  const doneForGood = new Set<string>();
  let calls: Call[] = [];
  let lead = takeOver();
  /** With its planted fault, an earlier lead whose last batch is stored. */
  let overdue: Lead | undefined;

  function takeOver(): Lead {
    storeTerm += 1;
    const book = createJobBook();
    for (const [key, value] of stored) book.apply(decodeRecord(key, value)!);
    const orders: Order[] = [];
    const scheduler = createScheduler({
      now: clock.now,
      wallTime: clock.wallTime,
      order: (order) => orders.push(order),
      log: silentLogger,
    });
    scheduler.setRules({
      queues: new Map([["normal", queue("normal", 1)]]),
      guarantees: new Map(),
      deployment: { remoteFactor: 3, reclaimMs: 3_000, stopMs: 500 },
    });
    scheduler.list({
      entries: [...workers.values()].map(entryOf),
      left: new Set(),
    });
    const wait = fault === "takeoverWithoutWait" ? 0 : INHERITED_MS;
    for (const booked of book.jobs()) {
      scheduler.restore(booked, clock.now() + wait);
    }
    if (stored.size === 0) {
      const spec = job("a", {
        submittedAt: clock.wallTime(),
        steps: [step({ taskCount: 2 })],
      });
      for (const { key, value } of encodeRecord({ kind: "submission", spec })) {
        stored.set(key, value!);
      }
      scheduler.submit(spec);
    }
    const leaseEnd = clock.now() + LEAD_LEASE_MS;
    return { term: storeTerm, scheduler, orders, leaseEnd };
  }

  const isLeading = (candidate: Lead) => clock.now() < candidate.leaseEnd;

  const sendOrders = (): void => {
    if (!isLeading(lead)) return;
    for (const order of lead.orders.splice(0)) {
      const worker = order.kind === "start" ? order.run.worker : order.worker;
      const leaseUntil = clock.now() + WORKER_LEASE_MS;
      if (order.kind === "start") extend(worker, leaseUntil);
      calls.push({ lead, order, leaseUntil, hasTimedOut: false });
    }
  };

  const extend = (worker: WorkerState, until: number): void => {
    worker.leasesEndBy = Math.max(worker.leasesEndBy, until + 300);
  };

  /** Carries a call out on its worker. @returns the answer */
  const carryOut = ({ lead: caller, order, leaseUntil }: Call) => {
    if (order.kind === "stop") {
      const worker = workers.get(order.worker.id)!;
      return worker.stop(caller.term, order.task, order.number);
    }
    const { run } = order;
    const worker = workers.get(run.worker.id)!;
    const name = nameOf(taskOf(run));
    const before = worker.started.length;
    const answer = worker.start(
      caller.term,
      {
        task: taskOf(run),
        number: run.number,
        checkpoint: run.checkpoint,
        percent: 0,
      },
      leaseUntil,
      clock.now(),
    );
    if (worker.started.length > before) noteStart(name, worker);
    return answer;
  };

  const noteStart = (name: string, worker: FakeWorker): void => {
    if (doneForGood.has(name)) broken.push(`${name} started after its end`);
    for (const other of workers.values()) {
      if (other !== worker && other.running.has(name)) {
        broken.push(`${name} runs on ${other.id} and ${worker.id}`);
      }
    }
  };

  const answer = (call: Call, result: ReturnType<typeof carryOut>): void => {
    if (call.lead !== lead || call.hasTimedOut || !isLeading(lead)) return;
    const { order } = call;
    if (order.kind === "stop") {
      if (result === true) lead.scheduler.stopAnswered(order.run);
      else lead.orders.push(order);
      return;
    }
    lead.scheduler.startAnswered(
      order.run,
      result === "started" ? "started" : "refused",
    );
  };

  const look = (worker: FakeWorker): void => {
    if (!isLeading(lead)) return;
    const known = lead.scheduler.state.workers.get(worker.id)!;
    const acknowledged = fault === "acknowledgedBeforeStored"
      ? Infinity
      : known.storedEnd;
    const leaseUntil = clock.now() + WORKER_LEASE_MS;
    extend(known, leaseUntil);
    const seen = worker.ends.filter(({ position }) => position <= acknowledged);
    const report = worker.hold(
      lead.term,
      acknowledged,
      leaseUntil,
      clock.now(),
    );
    if (report === undefined) return;
    for (const { task, end } of seen) {
      if (end === "done") doneForGood.add(nameOf(task));
    }
    const ended = acknowledged === Infinity ? seen : report.ended;
    lead.scheduler.report(known, worker.lifetime, {
      askedAt: clock.now(),
      running: report.running,
      ended,
    });
  };

  const store = (isAnswered: boolean): void => {
    if (!isLeading(lead)) return;
    lead.batch ??= lead.scheduler.takeBatch();
    const { batch } = lead;
    if (batch === undefined) return;
    if (fault === "orderBeforeStored") {
      lead.scheduler.stored(batch);
      sendOrders();
    }
    if (fault === "orderBeforeStored" && !isAnswered) {
      lead.batch = undefined;
      return;
    }
    if (lead.term === storeTerm) {
      for (const { key, value } of batch.records.flatMap(encodeRecord)) {
        stored.set(key, value!);
      }
    }
    if (!isAnswered) return;
    lead.batch = undefined;
    if (fault !== "orderBeforeStored") lead.scheduler.stored(batch);
    sendOrders();
  };

  /** Takes the late answer of the store for leave to order, long after the lease. */
  const sendOverdue = (earlier: Lead): void => {
    overdue = undefined;
    if (earlier.batch === undefined) return;
    earlier.scheduler.stored(earlier.batch);
    const leaseUntil = clock.now() + WORKER_LEASE_MS;
    for (const order of earlier.orders.splice(0)) {
      calls.push({ lead: earlier, order, leaseUntil, hasTimedOut: true });
    }
  };

  const pickFrom = <Item>(items: readonly Item[], pick: number) =>
    items.length === 0 ? undefined : items[pick % items.length];

  const play = ({ kind, pick }: ModelEvent): void => {
    const worker = pickFrom([...workers.values()], pick)!;
    const call = pickFrom(calls, pick);
    switch (kind) {
      case "plan":
        if (!isLeading(lead)) return;
        lead.scheduler.plan();
        return sendOrders();
      case "store":
        return store(true);
      case "storeAnswerLost":
        if (overdue !== undefined) sendOverdue(overdue);
        return store(false);
      case "deliver":
        if (call === undefined) return;
        calls = calls.filter((other) => other !== call);
        return answer(call, carryOut(call));
      case "deliverLate":
        // The caller gives up; the order stays on its way.
        if (call === undefined || call.hasTimedOut) return;
        call.hasTimedOut = true;
        return giveUp(call);
      case "loseAnswer":
        if (call === undefined) return;
        carryOut(call);
        calls = calls.filter((other) => other !== call);
        if (!call.hasTimedOut) giveUp(call);
        return;
      case "look":
        return look(worker);
      case "done":
      case "failed": {
        const run = pickFrom([...worker.running.values()], pick);
        if (run !== undefined) worker.end(run.task, kind);
        return;
      }
      case "advance":
        clock.advance(100 + (pick % 40) * 100);
        for (const each of workers.values()) each.expire(clock.now());
        return;
      case "takeover":
        if (isLeading(lead)) {
          // Renewed while it works.
          if (pick % 2 === 0) lead.leaseEnd = clock.now() + LEAD_LEASE_MS;
          return;
        }
        if (fault === "ordersAfterLease" && lead.batch !== undefined) {
          overdue ??= lead;
        }
        lead = takeOver();
        return;
      case "restart":
        if (pick % 4 !== 0) return;
        // A late order to an earlier life carries its lifetime and is rejected.
        calls = calls.filter(({ order }) =>
          (order.kind === "start" ? order.run.worker : order.worker).id !==
            worker.id
        );
        worker.crash();
        return;
    }
  };

  const giveUp = (call: Call): void => {
    if (call.lead !== lead || !isLeading(lead)) return;
    const { order } = call;
    if (order.kind === "start") {
      lead.scheduler.startAnswered(order.run, "uncertain");
    } else lead.orders.push(order);
    sendOrders();
  };

  for (const event of events) {
    clock.advance(1);
    play(event);
    for (const worker of workers.values()) {
      for (const { task, end, position } of worker.ends) {
        const known = lead.scheduler.state.workers.get(worker.id)!;
        if (end === "done" && position <= known.storedEnd) {
          doneForGood.add(nameOf(task));
        }
      }
    }
  }
  return broken;
}

function entryOf({ id, lifetime }: FakeWorker) {
  return {
    id,
    lifetime,
    service: "planner",
    address: id,
    zone: "z",
    labels: ["a", "r"],
    rack: "r",
    capacity: { milliCores: 4_000, memoryMegabytes: 4_000, accelerators: 4 },
    isDraining: false,
    remainingMs: 0,
  };
}

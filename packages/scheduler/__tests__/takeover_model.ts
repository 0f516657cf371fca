import {
  createManualClock,
  noIsolation,
  silentLogger,
} from "@rattanhill/shared";
import {
  addStoredProgress,
  type CellRecord,
  createJobBook,
  createScheduler,
  decodeRecord,
  encodeRecord,
  findStep,
  isProgressRecord,
  isStepDoneAt,
  type JobBook,
  stepKey,
  type StepSpec,
  type StoredProgress,
  taskNameOf,
  withProgress,
  type WorkerCommand,
  type WorkerListing,
  type WorkerState,
} from "../src/mod.ts";
import { createAttemptCheck } from "./attempt_check.ts";
import { job, queueRules, step } from "./cell_fixture.ts";
import type { InjectedFault, ModelEvent } from "./takeover_events.ts";
import {
  createFakeWorker,
  entryOf,
  type FakeWorker,
  successorIdOf,
  taskKeyOf,
} from "./fake_worker.ts";
import {
  type Call,
  INHERITED_LEASE_MS,
  type Lead,
  LEAD_LEASE_MS,
  MAXIMUM_ATTEMPTS,
  TOKENS_PER_TERM,
  WORKER_LEASE_MS,
} from "./takeover_parts.ts";

const JOB_ID = "a";
// Above the number of events, each of which may lower it: 0 would mean unknown.
const FIRST_LIFETIME = 1_000;
// Number of crashes at which the task that was on the workers may be given up.
const MINIMUM_BLAMED_CRASHES = 2;
// Longer than a lease that an earlier lead granted.
const CALM_MS = 20_000;
const CALM_STEP_MS = 100;

/**
 * Simulates a series of events on successive leads, a store and some workers.
 *
 * @param events the events, in order
 * @param options the fault to inject, if any, the number of workers at the
 * start, the steps of the job, whether a calm follows the events, and the length
 * of the values that the store takes
 * @returns violations: tasks that ran on two workers at once, that started
 * again after their end was stored or acknowledged, or that started after as
 * many failed runs as they may have; after a calm, also tasks that do not run
 * although they should, and a job that failed without a cause
 */
export function simulateTakeovers(
  events: readonly ModelEvent[],
  {
    fault,
    workerCount = 2,
    steps = [step({ taskCount: 2 })],
    endsCalmly,
    recordBytes = Infinity,
  }: {
    fault?: InjectedFault;
    workerCount?: number;
    steps?: readonly StepSpec[];
    endsCalmly?: boolean;
    recordBytes?: number;
  } = {},
): string[] {
  const clock = createManualClock(100_000);
  const violations: string[] = [];
  const attempts = createAttemptCheck(MAXIMUM_ATTEMPTS);
  const stored = new Map<string, string>();
  let storeTerm = 0;
  const workers = new Map<string, FakeWorker>();
  for (let index = 0; index < workerCount; index++) {
    const id = `w${index}`;
    const worker = createFakeWorker(id);
    worker.lifetime = FIRST_LIFETIME;
    workers.set(id, worker);
  }
  /** Crashed workers that the platform still lists. */
  let staleWorkers: FakeWorker[] = [];
  /**
   * Tasks whose successful end is stored or acknowledged; they must not start
   * again.
   */
  const doneTasks = new Set<string>();
  /** Number of failed runs by task, reported or not, and of crashes. */
  const failures = new Map<string, number>();
  let crashes = 0;
  let calls: Call[] = [];
  /**
   * Calls that were meant for the earlier lifetime of a worker. They arrive only
   * once a call of the lead has reached the current one.
   */
  let formerCalls: Call[] = [];
  /** Answers of workers that have not reached the lead. */
  let answers: (() => void)[] = [];
  let lead = takeOver();
  /**
   * With the fault `startAfterLease`, an earlier lead with an unconfirmed
   * batch.
   */
  let expiredLead: Lead | undefined;

  function restoreBook(): JobBook {
    const book = createJobBook();
    for (const [key, value] of stored) {
      const record = decodeRecord(key, value)!;
      if (!isProgressRecord(record)) book.apply(record);
    }
    return book;
  }

  function readProgress(): StoredProgress {
    const progress: StoredProgress = new Map();
    for (const [key, value] of stored) {
      addStoredProgress(progress, decodeRecord(key, value)!);
    }
    return progress;
  }

  function takeOver(): Lead {
    storeTerm += TOKENS_PER_TERM;
    const book = restoreBook();
    const commands: WorkerCommand[] = [];
    const scheduler = createScheduler({
      now: clock.now,
      wallTime: clock.wallTime,
      sendCommand: (command) => commands.push(command),
      isolate: noIsolation,
      fits: (record) =>
        encodeRecord(record).every(({ value = "" }) =>
          value.length <= recordBytes
        ),
      log: silentLogger,
    });
    scheduler.setRules({
      queues: new Map([["normal", {
        ...queueRules("normal", 1),
        maximumAttempts: MAXIMUM_ATTEMPTS,
      }]]),
      guarantees: new Map(),
      deployment: { remoteFactor: 3, reclaimMs: 3_000, stopMs: 500 },
    });
    scheduler.updateWorkers(listWorkers());
    const waitMs = fault === "takeoverWithoutWait" ? 0 : INHERITED_LEASE_MS;
    const progress = readProgress();
    for (const storedJob of book.jobs()) {
      scheduler.restore(
        withProgress(storedJob, progress.get(storedJob.spec.id)),
        clock.now() + waitMs,
      );
    }
    if (stored.size === 0) {
      const spec = job(JOB_ID, {
        submittedAt: clock.wallTime(),
        steps,
      });
      for (const { key, value } of encodeRecord({ kind: "submission", spec })) {
        stored.set(key, value!);
      }
      scheduler.submit(spec);
    }
    const leaseEnd = clock.now() + LEAD_LEASE_MS;
    return { term: storeTerm, scheduler, commands, leaseEnd };
  }

  function listWorkers(): WorkerListing {
    const listed = [...workers.values(), ...staleWorkers];
    return { entries: listed.map(entryOf), left: new Set() };
  }

  const isLeading = (candidate: Lead) => clock.now() < candidate.leaseEnd;

  const sendCommands = (): void => {
    if (!isLeading(lead)) return;
    for (const command of lead.commands.splice(0)) {
      const worker = workerOf(command);
      const leaseUntil = clock.now() + WORKER_LEASE_MS;
      if (command.kind === "start") extendLease(worker, leaseUntil);
      calls.push(createCall(lead, command, { leaseUntil, hasTimedOut: false }));
    }
  };

  const createCall = (
    caller: Lead,
    command: WorkerCommand,
    options: Pick<Call, "leaseUntil" | "hasTimedOut">,
  ): Call => {
    const isOutOfAttempts = command.kind === "start" &&
      attempts.isOutOfAttempts(taskKeyOf(taskNameOf(command.run)));
    const token = tokenOf(caller, workerOf(command));
    return { lead: caller, command, ...options, token, isOutOfAttempts };
  };

  const tokenOf = ({ term }: Lead, { tokenOffset }: WorkerState): number =>
    term + (fault === "constantToken" ? 0 : tokenOffset);

  const workerOf = (command: WorkerCommand): WorkerState =>
    command.kind === "start" ? command.run.worker : command.worker;

  const extendLease = (worker: WorkerState, until: number): void => {
    worker.leasesEndBy = Math.max(worker.leasesEndBy, until + 300);
  };

  /** Executes a call on its worker. */
  const executeCall = (
    { command, token, leaseUntil, isOutOfAttempts }: Call,
  ) => {
    if (command.kind === "stop") {
      const worker = workers.get(command.worker.id);
      return worker?.stop(token, command.task, command.number) ?? false;
    }
    const { run } = command;
    const worker = workers.get(run.worker.id);
    // Another worker has its address and rejects the call.
    if (worker === undefined) return "otherLifetime";
    const taskKey = taskKeyOf(taskNameOf(run));
    const before = worker.started.length;
    const answer = worker.start(
      token,
      {
        task: taskNameOf(run),
        number: run.number,
        checkpoint: run.checkpoint,
        percent: 0,
      },
      leaseUntil,
      clock.now(),
    );
    if (worker.started.length > before) {
      attempts.recordStart(taskKey, isOutOfAttempts);
      checkStart(taskKey, worker);
    }
    return answer;
  };

  const checkStart = (key: string, worker: FakeWorker): void => {
    if (doneTasks.has(key)) violations.push(`${key} started after its end`);
    for (const other of workers.values()) {
      if (other !== worker && other.running.has(key)) {
        violations.push(`${key} runs on ${other.id} and ${worker.id}`);
      }
    }
  };

  const deliverAnswer = (
    call: Call,
    result: ReturnType<typeof executeCall>,
  ): void => {
    if (call.lead !== lead || call.hasTimedOut || !isLeading(lead)) return;
    const { command } = call;
    if (command.kind === "stop") {
      if (result === true) lead.scheduler.handleStopAnswer(command.run);
      else lead.commands.push(command);
      return;
    }
    lead.scheduler.handleStartAnswer(
      command.run,
      result === "started" ? "started" : "refused",
    );
  };

  /**
   * Polls a worker.
   *
   * @returns delivers its answer to the lead; undefined if it was not polled or
   * does not answer this lead
   */
  const askWorker = (worker: FakeWorker): (() => void) | undefined => {
    if (!isLeading(lead)) return;
    const asking = lead;
    const known = asking.scheduler.state.workers.get(worker.id);
    if (known === undefined) return;
    const acknowledged = fault === "acknowledgeBeforeStored"
      ? Infinity
      : known.lastStoredEnd;
    const leaseUntil = clock.now() + WORKER_LEASE_MS;
    extendLease(known, leaseUntil);
    const acknowledgedEnds = worker.ends.filter(({ position }) =>
      position <= acknowledged
    );
    const askedAt = clock.now();
    const report = worker.hold(
      tokenOf(asking, known),
      acknowledged,
      leaseUntil,
      askedAt,
    );
    if (report === undefined) return;
    if (known.lifetime === worker.lifetime) {
      const isMeant = ({ command }: Call) => workerOf(command).id === worker.id;
      calls.push(...formerCalls.filter(isMeant));
      formerCalls = formerCalls.filter((call) => !isMeant(call));
    }
    attempts.recordAcknowledgement(worker, acknowledged);
    for (const { task, end } of acknowledgedEnds) {
      if (end === "done") doneTasks.add(taskKeyOf(task));
    }
    const { running } = report;
    const ended = acknowledged === Infinity ? acknowledgedEnds : report.ended;
    const { lifetime } = worker;
    return () => {
      if (asking !== lead || !isLeading(lead)) return;
      lead.scheduler.applyWorkerReport(known, lifetime, {
        askedAt,
        running,
        ended,
      });
    };
  };

  const writeRecords = (records: readonly CellRecord[]): void => {
    if (lead.term !== storeTerm) return;
    for (const { key, value } of records.flatMap(encodeRecord)) {
      // Keys are read in the order of their newest records.
      stored.delete(key);
      if (value !== undefined) stored.set(key, value);
    }
  };

  /** Stores part of a batch, as when a lead ends between two appends. */
  const storePart = (isProgress: boolean): void => {
    if (!isLeading(lead) || fault === "startBeforeStored") return;
    lead.batch ??= lead.scheduler.takeBatch();
    writeRecords(
      (lead.batch?.records ?? []).filter((record) =>
        isProgressRecord(record) === isProgress
      ),
    );
  };

  const storeBatch = (isConfirmed: boolean): void => {
    if (!isLeading(lead)) return;
    lead.batch ??= lead.scheduler.takeBatch();
    const { batch } = lead;
    if (batch === undefined) return;
    if (fault === "startBeforeStored") {
      lead.scheduler.handleBatchStored(batch);
      sendCommands();
    }
    if (fault === "startBeforeStored" && !isConfirmed) {
      lead.batch = undefined;
      return;
    }
    writeRecords(batch.records);
    if (!isConfirmed) return;
    lead.batch = undefined;
    if (fault !== "startBeforeStored") lead.scheduler.handleBatchStored(batch);
    sendCommands();
  };

  /**
   * Confirms the batch of an earlier lead after its lease has expired, and
   * sends the resulting start commands.
   */
  const sendAfterLease = (earlier: Lead): void => {
    expiredLead = undefined;
    if (earlier.batch === undefined) return;
    earlier.scheduler.handleBatchStored(earlier.batch);
    const leaseUntil = clock.now() + WORKER_LEASE_MS;
    for (const command of earlier.commands.splice(0)) {
      calls.push(
        createCall(earlier, command, { leaseUntil, hasTimedOut: true }),
      );
    }
  };

  /**
   * Lets every call, answer and write succeed from now on, for longer than any
   * lease lasts.
   *
   * @returns the tasks that then neither run nor are done, unless their job has
   * failed
   */
  const findIdleTasks = (): string[] => {
    calls = calls.filter((call) => !call.hasTimedOut && call.lead === lead);
    answers = [];
    staleWorkers = [];
    if (!isLeading(lead)) lead = takeOver();
    for (let passedMs = 0; passedMs < CALM_MS; passedMs += CALM_STEP_MS) {
      clock.advance(CALM_STEP_MS);
      for (const worker of workers.values()) {
        worker.expire(clock.now());
        // A run without progress would be moved.
        for (const run of worker.running.values()) run.percent += 0.1;
      }
      lead.leaseEnd = clock.now() + LEAD_LEASE_MS;
      lead.scheduler.updateWorkers(listWorkers());
      for (const worker of workers.values()) askWorker(worker)?.();
      lead.scheduler.plan();
      sendCommands();
      storeBatch(true);
      for (const call of calls.splice(0)) {
        deliverAnswer(call, executeCall(call));
      }
    }
    const active = lead.scheduler.state.jobs.get(JOB_ID);
    const outcome = active?.outcome ?? restoreBook().find(JOB_ID)?.outcome;
    if (outcome === "failed") {
      return hasCauseToFail() ? [] : [`${JOB_ID} failed without a cause`];
    }
    if (outcome === "completed") return [];
    const runningKeys = new Set(
      [...workers.values()].flatMap(({ running }) => [...running.keys()]),
    );
    return steps.flatMap(({ taskCount, after }, index) => {
      const isDone = (position: number) =>
        active !== undefined && isStepDoneAt(active, 0, position);
      if (isDone(index) || !after.every(isDone)) return [];
      const done = active && findStep(active, 0, index)?.done;
      const keys = Array.from({ length: taskCount }, (_, task) => task)
        .filter((task) => !done?.has(task))
        .map((task) => `${stepKey(JOB_ID, 0, index)}.${task}`);
      return keys.filter((key) => !runningKeys.has(key));
    }).map((key) => `${key} neither runs nor is done`);
  };

  /** Returns whether a task has failed, or met crashes, as often as it may. */
  const hasCauseToFail = (): boolean =>
    crashes >= MINIMUM_BLAMED_CRASHES ||
    [...failures.values()].some((count) => count >= MAXIMUM_ATTEMPTS);

  const pickFrom = <Item>(items: readonly Item[], pick: number) =>
    items.length === 0 ? undefined : items[pick % items.length];

  const applyEvent = ({ kind, pick }: ModelEvent): void => {
    const worker = pickFrom([...workers.values()], pick)!;
    const call = pickFrom(calls, pick);
    switch (kind) {
      case "plan":
        if (!isLeading(lead)) return;
        lead.scheduler.plan();
        return sendCommands();
      case "store":
        return storeBatch(true);
      case "storeUnconfirmed":
        if (expiredLead !== undefined) sendAfterLease(expiredLead);
        return storeBatch(false);
      case "storePart":
        return storePart(pick % 2 === 0);
      case "loseBatch":
        if (!isLeading(lead)) return;
        lead.scheduler.takeBatch();
        lead.batch = undefined;
        return;
      case "deliver":
        if (call === undefined) return;
        calls = calls.filter((other) => other !== call);
        return deliverAnswer(call, executeCall(call));
      case "timeOut":
        // The call stays in `calls`, since its command may still arrive.
        if (call === undefined || call.hasTimedOut) return;
        call.hasTimedOut = true;
        return timeOutCall(call);
      case "loseAnswer":
        if (call === undefined) return;
        executeCall(call);
        calls = calls.filter((other) => other !== call);
        if (!call.hasTimedOut) timeOutCall(call);
        return;
      case "poll":
        return askWorker(worker)?.();
      case "ask": {
        const answer = askWorker(worker);
        if (answer !== undefined) answers.push(answer);
        return;
      }
      case "answer": {
        const answer = pickFrom(answers, pick);
        answers = answers.filter((other) => other !== answer);
        return answer?.();
      }
      case "done":
      case "failed": {
        const run = pickFrom([...worker.running.values()], pick);
        if (run === undefined) return;
        worker.end(run.task, kind);
        if (kind === "failed") {
          const { isGang } = steps[run.task.step];
          // The members of a gang fail together.
          const key = isGang ? "gang" : taskKeyOf(run.task);
          failures.set(key, (failures.get(key) ?? 0) + 1);
          attempts.recordFailure(worker, worker.ends.at(-1)!);
        }
        return;
      }
      case "advance":
        clock.advance(100 + (pick % 40) * 100);
        for (const each of workers.values()) {
          if (each.expire(clock.now())) attempts.recordLapse(each);
        }
        return;
      case "takeover":
        if (isLeading(lead)) {
          // The lead renews its lease on every second pick.
          if (pick % 2 === 0) lead.leaseEnd = clock.now() + LEAD_LEASE_MS;
          return;
        }
        if (fault === "startAfterLease" && lead.batch !== undefined) {
          expiredLead ??= lead;
        }
        lead = takeOver();
        return;
      case "restart":
        if (pick % 4 !== 0) return;
        formerCalls.push(
          ...calls.filter(({ command }) => workerOf(command).id === worker.id),
        );
        calls = calls.filter((each) => !formerCalls.includes(each));
        worker.crash();
        crashes += 1;
        attempts.recordLapse(worker);
        return;
      case "replace": {
        if (pick % 4 !== 0) return;
        const next = createFakeWorker(successorIdOf(worker.id));
        crashes += 1;
        // The clock of a VM may step back between two workers.
        next.lifetime = worker.lifetime + (pick % 3) - 1;
        attempts.recordLapse(worker);
        workers.delete(worker.id);
        workers.set(next.id, next);
        staleWorkers.push(worker);
        const known = lead.scheduler.state.workers.get(worker.id);
        if (known !== undefined) lead.scheduler.recordNoAnswer(known);
        return lead.scheduler.updateWorkers(listWorkers());
      }
      case "list":
        staleWorkers = [];
        return lead.scheduler.updateWorkers(listWorkers());
    }
  };

  const timeOutCall = (call: Call): void => {
    if (call.lead !== lead || !isLeading(lead)) return;
    const { command } = call;
    if (command.kind === "start") {
      lead.scheduler.handleStartAnswer(
        command.run,
        fault === "refusalAfterTimeout" ? "refused" : "uncertain",
      );
    } else lead.commands.push(command);
    sendCommands();
  };

  for (const event of events) {
    clock.advance(1);
    applyEvent(event);
    for (const worker of workers.values()) {
      for (const { task, end, position } of worker.ends) {
        const known = lead.scheduler.state.workers.get(worker.id);
        if (known === undefined) continue;
        if (end === "done" && position <= known.lastStoredEnd) {
          doneTasks.add(taskKeyOf(task));
        }
      }
    }
  }
  if (endsCalmly) findIdleTasks().forEach((idle) => violations.push(idle));
  return [...violations, ...attempts.violations()];
}

import type { Clock, Isolate, Logger } from "@rattanhill/shared";
import {
  mayStart,
  RunPhase,
  type Scheduler,
  taskNameOf,
  type WorkerCommand,
  type WorkerState,
} from "@rattanhill/scheduler";
import type { ConnectWorker, WorkerConnection } from "./worker_calls.ts";
import { createWorkerLink, type WorkerLink } from "./worker_link.ts";

/** Links from a lead to the workers of its cell. */
export interface WorkerLinks {
  /**
   * Opens links to new workers that a queue or a job uses, and closes those to
   * workers that the scheduler has deleted.
   */
  refresh(): void;
  /**
   * Sends a command to its worker. The scheduler gets the answer; a start
   * without a link counts as refused, since it was not sent.
   */
  sendCommand(command: WorkerCommand): void;
  /** See {@link WorkerLink.renewShortLease}. */
  renewShortLeases(): void;
  /** See {@link WorkerLink.notifyEndsStored}. */
  notifyEndsStored(): void;
  /** Closes all links; runs on the workers continue. */
  close(): void;
}

/** Options of {@link createWorkerLinks}. */
export interface WorkerLinksOptions {
  /** Term of this lead. */
  term: number;
  clock: Clock;
  log: Logger;
  connect: ConnectWorker;
  /** Keeps the failure of one worker from the others. */
  isolate: Isolate;
  /** @returns whether this process still leads; if not, nothing is sent */
  isLeading(): boolean;
  /** @returns the scheduler; undefined until the stored jobs are restored */
  scheduler(): Scheduler | undefined;
  /** Called after an answer that may have changed what can be planned. */
  onChange(): void;
}

/**
 * Creates the links of a lead, none of which is open yet.
 *
 * @param options the lead's term, scheduler and connections
 * @returns the links
 */
export function createWorkerLinks(options: WorkerLinksOptions): WorkerLinks {
  const { term, clock, log, connect, isolate, isLeading } = options;
  const { scheduler, onChange } = options;
  const links = new Map<WorkerState, { link: WorkerLink; address: string }>();

  const createLink = (
    worker: WorkerState,
    connection: WorkerConnection,
  ): WorkerLink =>
    createWorkerLink({
      worker,
      connection,
      term,
      clock,
      log,
      isLeading,
      // Its worker may have changed while the command waited for its turn.
      mayStart: (run) =>
        mayStart(run) &&
        (scheduler()?.evacuation.mayStartOn(run.worker) ?? false),
      onReport: (lifetime, report) => {
        scheduler()?.applyWorkerReport(worker, lifetime, report);
        onChange();
      },
      onStartAnswer: (run, answer, reason) => {
        scheduler()?.handleStartAnswer(run, answer, reason);
        if (answer !== "started") onChange();
      },
      onStartInterrupted: (run) => scheduler()?.recordInterruptedStart(run),
      onNoAnswer: (isRefused) =>
        scheduler()?.recordNoAnswer(worker, { isRefused }),
      onReplacement: () => {
        scheduler()?.recordReplacement(worker);
        onChange();
      },
      onStopAnswer: (run) => scheduler()?.handleStopAnswer(run),
    });

  /**
   * Returns the link to a worker, and opens a new one when the worker has none
   * or its address has changed. While its address is unknown or no connection
   * can be opened to it, the earlier link remains, if there is one: the worker
   * may still be where it was.
   */
  const ensureLink = (worker: WorkerState): WorkerLink | undefined => {
    const { id, address } = worker;
    const existing = links.get(worker);
    if (existing?.address === address || address === "") return existing?.link;
    const connection = isolate(
      { operation: "worker.connect", item: id },
      () => connect(id, address),
    );
    if (connection === undefined) return existing?.link;
    existing?.link.close();
    const link = createLink(worker, connection);
    links.set(worker, { link, address });
    // Stops that the earlier link had not delivered are lost with it.
    for (const run of worker.runs) {
      if (run.phase !== RunPhase.stopping) continue;
      const { number } = run;
      link.sendCommand({
        kind: "stop",
        worker,
        task: taskNameOf(run),
        number,
        run,
      });
    }
    return link;
  };

  return {
    refresh: () => {
      const current = scheduler();
      if (current === undefined) return;
      const { state: { workers } } = current;
      for (const worker of workers.values()) {
        if (links.has(worker) || current.isUsed(worker)) ensureLink(worker);
      }
      for (const [worker, { link }] of links) {
        if (workers.get(worker.id) === worker) continue;
        link.close();
        links.delete(worker);
      }
    },
    sendCommand: (command) => {
      const worker = command.kind === "start"
        ? command.run.worker
        : command.worker;
      const link = ensureLink(worker);
      if (link !== undefined) return link.sendCommand(command);
      log.warn(
        { worker: worker.id, address: worker.address, kind: command.kind },
        "command dropped: no link to the worker",
      );
      if (command.kind === "stop") return;
      scheduler()?.handleStartAnswer(command.run, "refused", "not sent");
    },
    renewShortLeases: () => {
      for (const { link } of links.values()) link.renewShortLease();
    },
    notifyEndsStored: () => {
      for (const { link } of links.values()) link.notifyEndsStored();
    },
    close: () => {
      for (const { link } of links.values()) link.close();
      links.clear();
    },
  };
}

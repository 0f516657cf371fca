import {
  type ClaimedPart,
  createLedger,
  createRequest,
  describeLease,
  LeaseState,
  type Ledger,
  type LedgerRecord,
  Outcome,
  PartPhase,
  partPhaseOf,
  type RequestEffect,
  type RequestMessage,
  type RequestPart,
  type RequestSpec,
  type RequestState,
  type RequestStep,
  resumeRequest,
  stepRequest,
} from "@rattanhill/core";
import {
  createLeaseTable,
  type LeaseReply,
  type LeaseTable,
} from "@rattanhill/standins";

/** Faults planted in the protocol, to show that the invariants catch them. */
export interface PlantedFault {
  /** Holds never lapse, as if the claim were checked before the hold. */
  holdsNeverLapse?: boolean;
  /** An adopter asks the workers at once. */
  adoptsWithoutWait?: boolean;
  /** A start without an answer is taken for one that was refused. */
  unansweredIsRefused?: boolean;
}

/** What went wrong in one run. */
export interface Violations {
  /** Parts that were started more than once. */
  doubled: number;
  /** Requests answered as not run of which a task started. */
  falseNotRun: number;
  /** Starts in all, to see that runs make progress. */
  starts: number;
}

const ENTRIES = 3;
const WORKERS = 3;
const HOLD_TTL_MS = 2_000;
const STEP_MS = 200;
const LONG_STEP_MS = 2_200;
const RUN_MS = 3_000;
const MAXIMUM_TRIES = 2;
const NEVER_MS = 1e12;

interface Instance {
  state: RequestState;
  leases: Set<string>;
  isOver: boolean;
  wasNotRun: boolean;
}

interface Adoption {
  record: string;
  from: string;
  readyAt?: number;
}

interface ModelEntry {
  name: string;
  isDead: boolean;
  isFrozen: boolean;
  ledger: Ledger;
  position: number;
  ordinal: number;
  instance?: Instance;
  adoption?: Adoption;
  /** Claim record that the current attempt waits for. */
  claim?: { record: string; attempt: number };
}

interface ModelWorker {
  table: LeaseTable;
  boot: string;
}

/** A command on its way to a worker. */
interface Command {
  entry: ModelEntry;
  instance: Instance;
  worker: number;
  perform(worker: ModelWorker): LeaseReply;
  answered(reply: LeaseReply): void;
  /** The answers were lost as often as the host tries. */
  silent(): void;
  tries: number;
}

/**
 * Runs one interleaving of hold, claim, adopt, start, pause and loss for one
 * key that must not run twice.
 *
 * @param script choices; each picks one of the events that can happen next
 * @param options number of parts and the planted fault
 * @returns what went wrong
 */
export function runInterleaving(
  script: readonly number[],
  { parts, fault = {} }: { parts: number; fault?: PlantedFault },
): Violations {
  let now = 0;
  let serial = 0;
  const log: LedgerRecord[] = [];
  const delayed: LedgerRecord[] = [];
  const commands: Command[] = [];
  const instances: Instance[] = [];
  const starts = new Map<number, number>();
  const startedLeases = new Set<string>();
  const name = (kind: string) => `${kind}-${++serial}`;

  const newWorker = (): ModelWorker => {
    const boot = name("boot");
    const table = createLeaseTable({
      worker: "worker",
      address: "",
      zone: "",
      rack: "",
      boot,
      accelerators: 8,
      endedRetentionMs: NEVER_MS,
      journal: (event, lease) => {
        if (event !== "started") return;
        starts.set(lease.part, (starts.get(lease.part) ?? 0) + 1);
        startedLeases.add(lease.lease);
      },
      plan: () => ({ runMs: RUN_MS }),
      changed: () => {},
    });
    return { boot, table };
  };
  const workers = Array.from({ length: WORKERS }, newWorker);
  const entries = Array.from({ length: ENTRIES }, (_, index): ModelEntry => ({
    name: `entry-${index}`,
    isDead: false,
    isFrozen: false,
    ledger: createLedger(),
    position: 0,
    ordinal: 0,
  }));

  const specOf = (): RequestSpec => ({
    id: name("request"),
    account: "routes",
    key: "key",
    class: "route",
    shape: { parts, accelerators: 1, adjacent: "none" },
    repeatable: false,
    preemptible: false,
    priority: 0,
    expectedMs: RUN_MS,
    deadlineMs: NEVER_MS,
    isJob: false,
    bodyDigest: "digest",
  });
  const recordBase = (entry: ModelEntry) => ({
    id: name("record"),
    account: "routes",
    key: "key",
    owner: entry.name,
    ordinal: ++entry.ordinal,
  });
  const known = (entry: ModelEntry) => entry.ledger.find("routes", "key");

  const send = (entry: ModelEntry, message: RequestMessage): void => {
    const { instance } = entry;
    if (instance === undefined) return;
    apply(entry, instance, stepRequest(instance.state, message, now));
  };
  const tell = (
    entry: ModelEntry,
    instance: Instance,
    message: RequestMessage,
  ): void => {
    if (entry.instance === instance) send(entry, message);
  };
  const apply = (
    entry: ModelEntry,
    instance: Instance,
    { state, effects }: RequestStep,
  ): void => {
    instance.state = state;
    for (const effect of effects) perform(entry, instance, effect);
  };

  const perform = (
    entry: ModelEntry,
    instance: Instance,
    effect: RequestEffect,
  ): void => {
    switch (effect.kind) {
      case "place":
        return place(entry, instance, effect.attempt);
      case "claim":
        return claim(entry, instance, effect.attempt, effect.parts);
      case "release-claim":
        if (entry.claim !== undefined) {
          const { record } = entry.claim;
          delayed.push({
            kind: "release",
            ...recordBase(entry),
            claim: record,
          });
        }
        return;
      case "prepare":
      case "run":
      case "stop":
        return command(entry, instance, effect);
      case "end":
        instance.isOver = true;
        instance.wasNotRun = effect.result.outcome === Outcome.notRun;
        return;
      case "join":
        instance.isOver = true;
        return;
    }
  };

  /** Holds of all parts travel one by one; the last grant completes the placement. */
  const place = (
    entry: ModelEntry,
    instance: Instance,
    attempt: number,
  ): void => {
    const sentAt = now;
    const targets: ClaimedPart[] = [];
    let granted = 0;
    for (let part = 0; part < parts; part++) {
      const lease = name("lease");
      instance.leases.add(lease);
      const worker = (serial + part) % WORKERS;
      const target = { worker: String(worker), address: "", boot: "", lease };
      targets.push(target);
      commands.push({
        entry,
        instance,
        worker,
        tries: 0,
        perform: ({ table }) =>
          table.hold(
            describeLease(instance.state.spec, {
              lease,
              attempt,
              part,
              owner: entry.name,
            }),
            fault.holdsNeverLapse ? NEVER_MS : HOLD_TTL_MS,
            now,
          ),
        answered: ({ status, answer }) => {
          if (status !== 201) return lost();
          target.boot = answer.boot;
          granted += 1;
          if (granted < parts) return;
          const holdsEndAt = fault.holdsNeverLapse
            ? NEVER_MS
            : sentAt + HOLD_TTL_MS;
          const message = { kind: "placed", attempt, parts: targets } as const;
          tell(entry, instance, { ...message, holdsEndAt });
        },
        silent: () => lost(),
      });
    }
    const lost = () => tell(entry, instance, { kind: "placer-lost", attempt });
  };

  const claim = (
    entry: ModelEntry,
    instance: Instance,
    attempt: number,
    claimed: readonly ClaimedPart[],
  ): void => {
    const record: LedgerRecord = {
      kind: "claim",
      ...recordBase(entry),
      request: instance.state.spec.id,
      bodyDigest: "digest",
      attempt,
      parts: claimed.map((part) => ({ ...part })),
    };
    entry.claim = { record: record.id, attempt };
    delayed.push(record);
  };

  const command = (
    entry: ModelEntry,
    instance: Instance,
    effect: RequestEffect & { kind: "prepare" | "run" | "stop" },
  ): void => {
    const { kind, attempt, part, target } = effect;
    const message = (kind: PartMessageKind) =>
      tell(
        entry,
        instance,
        partMessage(kind, attempt, part),
      );
    commands.push({
      entry,
      instance,
      worker: Number(target.worker),
      tries: 0,
      perform: ({ table }) =>
        kind === "prepare"
          ? table.prepare(target.lease, {}, now)
          : kind === "run"
          ? table.run(target.lease, {}, now)
          : table.stop(target.lease, now),
      answered: ({ status, answer }) => {
        const isSame = answer.boot === target.boot;
        if (kind === "prepare") {
          const isReady = isSame && answer.state === LeaseState.ready;
          return message(isReady ? "part-ready" : "part-released");
        }
        if (kind === "run") {
          if (status === 409) return message("part-released");
          if (!isSame) return message("part-lost");
          return message(
            answer.state === undefined ? "part-released" : "part-running",
          );
        }
        message(isSame ? stopMessage(answer.state) : "part-lost");
      },
      silent: () =>
        message(fault.unansweredIsRefused ? "part-released" : "part-lost"),
    });
  };

  /** A caller's try reaches an entry. */
  const retry = (entry: ModelEntry): void => {
    const entryNow = known(entry);
    if (entry.instance !== undefined) {
      if (!entry.instance.isOver || !entry.instance.wasNotRun) return;
    }
    if (entry.adoption !== undefined) return;
    if (entryNow !== undefined && !entryNow.isReleased) {
      if (entryNow.owner !== entry.name) startAdoption(entry, entryNow.owner);
      return;
    }
    const attempt = (entryNow?.attempt ?? 0) + 1;
    open(entry, createRequest(specOf(), now, { attempt }));
  };

  const open = (entry: ModelEntry, step: RequestStep): void => {
    const instance: Instance = {
      state: step.state,
      leases: new Set(),
      isOver: false,
      wasNotRun: false,
    };
    instances.push(instance);
    entry.instance = instance;
    apply(entry, instance, step);
  };

  const startAdoption = (entry: ModelEntry, from: string): void => {
    const record: LedgerRecord = { kind: "adopt", ...recordBase(entry), from };
    entry.adoption = { record: record.id, from };
    delayed.push(record);
  };

  const readLog = (entry: ModelEntry): void => {
    while (entry.position < log.length) {
      const record = log[entry.position++];
      const verdict = entry.ledger.fold(record, now);
      const isAccepted = verdict === "accepted";
      if (record.id === entry.claim?.record) {
        const { attempt } = entry.claim;
        const owner = known(entry)?.owner ?? "";
        send(
          entry,
          isAccepted
            ? { kind: "claim-won", attempt }
            : { kind: "claim-lost", attempt, owner },
        );
      }
      if (record.id === entry.adoption?.record) {
        const waitMs = fault.adoptsWithoutWait ? 0 : HOLD_TTL_MS + 1;
        if (isAccepted) entry.adoption.readyAt = now + waitMs;
        else entry.adoption = undefined;
      }
      const isTakenOver = record.kind === "adopt" && isAccepted &&
        record.from === entry.name;
      if (isTakenOver) {
        send(entry, { kind: "taken-over", owner: record.owner });
        entry.adoption = undefined;
      }
    }
  };

  const finishAdoption = (entry: ModelEntry): void => {
    entry.adoption = undefined;
    const claimed = known(entry);
    if (claimed === undefined || claimed.owner !== entry.name) return;
    const found = claimed.parts.map((part): RequestPart => {
      const { table, boot } = workers[Number(part.worker)];
      const { answer } = table.inspect(part.lease, now);
      const phase = boot === part.boot
        ? partPhaseOf(answer.state)
        : PartPhase.lost;
      return { ...part, phase };
    });
    const spec = { ...specOf(), id: claimed.request };
    open(entry, resumeRequest(spec, claimed, found, now));
  };

  const advance = (duration: number): void => {
    now += duration;
    for (const { table } of workers) table.tick(now);
  };

  const isAwake = (entry: ModelEntry) => !entry.isDead && !entry.isFrozen;

  /** Everything that can happen next; frequent events are listed more than once. */
  const enabledEvents = (): (() => void)[] => {
    const events: (() => void)[] = [
      () => advance(STEP_MS),
      () => advance(LONG_STEP_MS),
    ];
    for (const entry of entries) {
      if (isAwake(entry)) {
        events.push(() => retry(entry));
        if (entry.position < log.length) {
          events.push(() => readLog(entry), () => readLog(entry));
        }
        const readyAt = entry.adoption?.readyAt;
        if (readyAt !== undefined && readyAt <= now) {
          events.push(() => finishAdoption(entry));
        }
        events.push(() => entry.isFrozen = true);
      } else if (!entry.isDead) events.push(() => entry.isFrozen = false);
    }
    delayed.forEach((record, index) =>
      events.push(
        () => log.push(...delayed.splice(index, 1)),
        () => void (record && log.push(...delayed.splice(index, 1))),
      )
    );
    commands.forEach((pending, index) => {
      events.push(
        () => deliver(pending, index, true),
        () => deliver(pending, index, true),
        () => deliver(pending, index, false),
      );
    });
    events.push(() => {
      const index = serial % WORKERS;
      if (serial % 7 === 0) workers[index] = newWorker();
    });
    return events;
  };

  /** An answer reaches its entry, or is lost and the host tries again. */
  const deliver = (
    pending: Command,
    index: number,
    isAnswered: boolean,
  ): void => {
    const reply = pending.perform(workers[pending.worker]);
    if (isAnswered && isAwake(pending.entry)) {
      commands.splice(index, 1);
      return pending.answered(reply);
    }
    if (pending.tries++ < MAXIMUM_TRIES) return;
    commands.splice(index, 1);
    if (isAwake(pending.entry)) pending.silent();
  };

  retry(entries[0]);
  for (const choice of script) {
    const events = enabledEvents();
    events[choice % events.length]();
  }
  return {
    doubled: [...starts.values()].filter((count) => count > 1).length,
    falseNotRun: instances.filter((instance) =>
      instance.wasNotRun &&
      [...instance.leases].some((lease) => startedLeases.has(lease))
    ).length,
    starts: [...starts.values()].reduce((sum, count) => sum + count, 0),
  };
}

type PartMessageKind =
  | "part-ready"
  | "part-running"
  | "part-released"
  | "part-ended"
  | "part-stopped"
  | "part-lost";

function partMessage(
  kind: PartMessageKind,
  attempt: number,
  part: number,
): RequestMessage {
  return kind === "part-ended"
    ? { kind, attempt, part, answer: "" }
    : { kind, attempt, part };
}

function stopMessage(state: LeaseState | undefined): PartMessageKind {
  switch (state) {
    case LeaseState.ended:
      return "part-ended";
    case LeaseState.stopped:
    case LeaseState.failed:
      return "part-stopped";
    case undefined:
      return "part-lost";
    default:
      return "part-released";
  }
}

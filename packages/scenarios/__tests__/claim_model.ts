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
  type LeaseResult,
  type LeaseTable,
} from "@rattanhill/standins";

/**
 * Faults injected into the protocol, to show that the invariants detect them.
 */
export interface InjectedFault {
  /**
   * Holds never expire. The effect is that of a protocol which checks the claim
   * before it takes the hold.
   */
  holdsNeverExpire?: boolean;
  /**
   * An entry that adopts a claim inspects its leases at once, without waiting
   * until the holds of the previous owner have expired.
   */
  adoptsWithoutWait?: boolean;
  /** A start call without a response is treated as refused. */
  treatsNoResponseAsRefusal?: boolean;
}

/** Violations of the invariants in one interleaving. */
export interface Violations {
  /** Parts that were started more than once. */
  doubled: number;
  /** Requests that ended as not run although one of their tasks started. */
  falseNotRun: number;
  /** Total number of starts, to check that interleavings make progress. */
  starts: number;
}

const ENTRIES = 3;
const WORKERS = 3;
const HOLD_TTL_MS = 2_000;
const STEP_MS = 200;
// Duration of a step in which all holds expire, since it is longer than their
// time to live.
const LONG_STEP_MS = 2_200;
const RUN_MS = 3_000;
const MAXIMUM_RETRIES = 2;
// A time after the end of every interleaving.
const NEVER_MS = 1e12;

/** One request, as one entry processes it. */
interface Instance {
  state: RequestState;
  leases: Set<string>;
  isOver: boolean;
  endedNotRun: boolean;
}

/** A takeover of a claim, in progress at an entry. */
interface Adoption {
  record: string;
  from: string;
  /** Time from which the leases may be inspected; set once it is accepted. */
  readyAt?: number;
}

/** An entry with its own copy of the ledger. */
interface ModelEntry {
  name: string;
  isDead: boolean;
  isFrozen: boolean;
  ledger: Ledger;
  /** Number of log records that the entry has read. */
  position: number;
  /** Number of log records that the entry has written. */
  ordinal: number;
  instance?: Instance;
  adoption?: Adoption;
  /** Claim record whose verdict the current attempt waits for. */
  claim?: { record: string; attempt: number };
}

interface ModelWorker {
  table: LeaseTable;
  boot: string;
}

/** A call from an entry to a worker that is in flight. */
interface Command {
  entry: ModelEntry;
  instance: Instance;
  worker: number;
  perform(worker: ModelWorker): LeaseResult;
  onResponse(result: LeaseResult): void;
  /** Called when the responses to all attempts were lost. */
  onNoResponse(): void;
  tries: number;
}

/**
 * Runs one interleaving of holds, claims, adoptions, starts, pauses and losses
 * for one idempotency key whose request must not run twice. The request state
 * machine and the ledger of `core` and the lease table of the stand-ins are the
 * real ones; messages, the log and the clock are simulated.
 *
 * @param script choices; each selects one of the events enabled at that point
 * @param options number of parts and the injected fault
 * @returns violations and number of starts
 */
export function runInterleaving(
  script: readonly number[],
  { parts, fault = {} }: { parts: number; fault?: InjectedFault },
): Violations {
  let now = 0;
  let serial = 0;
  const log: LedgerRecord[] = [];
  // Records that entries have sent and that reach the log in any order.
  const undelivered: LedgerRecord[] = [];
  const commands: Command[] = [];
  const instances: Instance[] = [];
  const starts = new Map<number, number>();
  const startedLeases = new Set<string>();
  const createName = (kind: string) => `${kind}-${++serial}`;

  const createWorker = (): ModelWorker => {
    const boot = createName("boot");
    const table = createLeaseTable({
      worker: "worker",
      address: "",
      zone: "",
      rack: "",
      boot,
      accelerators: 8,
      endedRetentionMs: NEVER_MS,
      appendToJournal: (event, lease) => {
        if (event !== "started") return;
        starts.set(lease.part, (starts.get(lease.part) ?? 0) + 1);
        startedLeases.add(lease.lease);
      },
      parsePlan: () => ({ runMs: RUN_MS }),
      onChange: () => {},
    });
    return { boot, table };
  };
  const workers = Array.from({ length: WORKERS }, createWorker);
  const entries = Array.from({ length: ENTRIES }, (_, index): ModelEntry => ({
    name: `entry-${index}`,
    isDead: false,
    isFrozen: false,
    ledger: createLedger(),
    position: 0,
    ordinal: 0,
  }));

  const createSpec = (): RequestSpec => ({
    id: createName("request"),
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
  const createRecordBase = (entry: ModelEntry) => ({
    id: createName("record"),
    account: "routes",
    key: "key",
    owner: entry.name,
    ordinal: ++entry.ordinal,
  });
  const findClaim = (entry: ModelEntry) => entry.ledger.find("routes", "key");

  const sendToCurrent = (entry: ModelEntry, message: RequestMessage): void => {
    const { instance } = entry;
    if (instance === undefined) return;
    applyStep(entry, instance, stepRequest(instance.state, message, now));
  };
  const sendIfCurrent = (
    entry: ModelEntry,
    instance: Instance,
    message: RequestMessage,
  ): void => {
    if (entry.instance === instance) sendToCurrent(entry, message);
  };
  const applyStep = (
    entry: ModelEntry,
    instance: Instance,
    { state, effects }: RequestStep,
  ): void => {
    instance.state = state;
    for (const effect of effects) performEffect(entry, instance, effect);
  };

  const performEffect = (
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
          undelivered.push({
            kind: "release",
            ...createRecordBase(entry),
            claim: record,
          });
        }
        return;
      case "prepare":
      case "run":
      case "stop":
        return sendCommand(entry, instance, effect);
      case "end":
        instance.isOver = true;
        instance.endedNotRun = effect.result.outcome === Outcome.notRun;
        return;
      case "join":
        instance.isOver = true;
        return;
    }
  };

  /** Sends a hold per part; the last one granted completes the placement. */
  const place = (
    entry: ModelEntry,
    instance: Instance,
    attempt: number,
  ): void => {
    const sentAt = now;
    const targets: ClaimedPart[] = [];
    let granted = 0;
    for (let part = 0; part < parts; part++) {
      const lease = createName("lease");
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
            fault.holdsNeverExpire ? NEVER_MS : HOLD_TTL_MS,
            now,
          ),
        onResponse: ({ status, answer }) => {
          if (status !== 201) return reportPlacementLost();
          target.boot = answer.boot;
          granted += 1;
          if (granted < parts) return;
          const holdsEndAt = fault.holdsNeverExpire
            ? NEVER_MS
            : sentAt + HOLD_TTL_MS;
          const message = { kind: "placed", attempt, parts: targets } as const;
          sendIfCurrent(entry, instance, { ...message, holdsEndAt });
        },
        onNoResponse: () => reportPlacementLost(),
      });
    }
    const reportPlacementLost = () =>
      sendIfCurrent(entry, instance, { kind: "placer-lost", attempt });
  };

  const claim = (
    entry: ModelEntry,
    instance: Instance,
    attempt: number,
    claimed: readonly ClaimedPart[],
  ): void => {
    const record: LedgerRecord = {
      kind: "claim",
      ...createRecordBase(entry),
      request: instance.state.spec.id,
      bodyDigest: "digest",
      attempt,
      parts: claimed.map((part) => ({ ...part })),
    };
    entry.claim = { record: record.id, attempt };
    undelivered.push(record);
  };

  const sendCommand = (
    entry: ModelEntry,
    instance: Instance,
    effect: RequestEffect & { kind: "prepare" | "run" | "stop" },
  ): void => {
    const { kind, attempt, part, target } = effect;
    const sendPartMessage = (messageKind: PartMessageKind) =>
      sendIfCurrent(
        entry,
        instance,
        createPartMessage(messageKind, attempt, part),
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
      onResponse: ({ status, answer }) => {
        const isSame = answer.boot === target.boot;
        if (kind === "prepare") {
          const isReady = isSame && answer.state === LeaseState.ready;
          return sendPartMessage(isReady ? "part-ready" : "part-released");
        }
        if (kind === "run") {
          if (status === 409) return sendPartMessage("part-released");
          if (!isSame) return sendPartMessage("part-lost");
          return sendPartMessage(
            answer.state === undefined ? "part-released" : "part-running",
          );
        }
        sendPartMessage(
          isSame ? messageKindAfterStop(answer.state) : "part-lost",
        );
      },
      onNoResponse: () =>
        sendPartMessage(
          fault.treatsNoResponseAsRefusal ? "part-released" : "part-lost",
        ),
    });
  };

  /** Handles the first or a repeated attempt of the caller at an entry. */
  const handleAttempt = (entry: ModelEntry): void => {
    const existing = findClaim(entry);
    if (entry.instance !== undefined) {
      if (!entry.instance.isOver || !entry.instance.endedNotRun) return;
    }
    if (entry.adoption !== undefined) return;
    if (existing !== undefined && !existing.isReleased) {
      if (existing.owner !== entry.name) startAdoption(entry, existing.owner);
      return;
    }
    const attempt = (existing?.attempt ?? 0) + 1;
    startInstance(entry, createRequest(createSpec(), now, { attempt }));
  };

  const startInstance = (entry: ModelEntry, step: RequestStep): void => {
    const instance: Instance = {
      state: step.state,
      leases: new Set(),
      isOver: false,
      endedNotRun: false,
    };
    instances.push(instance);
    entry.instance = instance;
    applyStep(entry, instance, step);
  };

  const startAdoption = (entry: ModelEntry, from: string): void => {
    const record: LedgerRecord = {
      kind: "adopt",
      ...createRecordBase(entry),
      from,
    };
    entry.adoption = { record: record.id, from };
    undelivered.push(record);
  };

  const readLog = (entry: ModelEntry): void => {
    while (entry.position < log.length) {
      const record = log[entry.position++];
      const verdict = entry.ledger.fold(record, now);
      const isAccepted = verdict === "accepted";
      if (record.id === entry.claim?.record) {
        const { attempt } = entry.claim;
        const owner = findClaim(entry)?.owner ?? "";
        sendToCurrent(
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
        sendToCurrent(entry, { kind: "taken-over", owner: record.owner });
        entry.adoption = undefined;
      }
    }
  };

  const finishAdoption = (entry: ModelEntry): void => {
    entry.adoption = undefined;
    const claimed = findClaim(entry);
    if (claimed === undefined || claimed.owner !== entry.name) return;
    const found = claimed.parts.map((part): RequestPart => {
      const { table, boot } = workers[Number(part.worker)];
      const { answer } = table.inspect(part.lease, now);
      const phase = boot === part.boot
        ? partPhaseOf(answer.state)
        : PartPhase.lost;
      return { ...part, phase };
    });
    const spec = { ...createSpec(), id: claimed.request };
    startInstance(entry, resumeRequest(spec, claimed, found, now));
  };

  const advance = (durationMs: number): void => {
    now += durationMs;
    for (const { table } of workers) table.tick(now);
  };

  const isAwake = (entry: ModelEntry) => !entry.isDead && !entry.isFrozen;

  /** Lists the events that can happen next, frequent ones more than once. */
  const enabledEvents = (): (() => void)[] => {
    const events: (() => void)[] = [
      () => advance(STEP_MS),
      () => advance(LONG_STEP_MS),
    ];
    for (const entry of entries) {
      if (isAwake(entry)) {
        events.push(() => handleAttempt(entry));
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
    undelivered.forEach((record, index) =>
      events.push(
        () => log.push(...undelivered.splice(index, 1)),
        () => void (record && log.push(...undelivered.splice(index, 1))),
      )
    );
    commands.forEach((pending, index) => {
      events.push(
        () => deliver(pending, index, true),
        () => deliver(pending, index, true),
        () => deliver(pending, index, false),
      );
    });
    // A worker sometimes restarts with a new boot identifier and an empty lease
    // table.
    events.push(() => {
      const index = serial % WORKERS;
      if (serial % 7 === 0) workers[index] = createWorker();
    });
    return events;
  };

  /**
   * Performs a call at its worker. Its response reaches the entry, or is lost
   * and the call remains in flight until its retries are used up.
   */
  const deliver = (
    pending: Command,
    index: number,
    isResponseDelivered: boolean,
  ): void => {
    const result = pending.perform(workers[pending.worker]);
    if (isResponseDelivered && isAwake(pending.entry)) {
      commands.splice(index, 1);
      return pending.onResponse(result);
    }
    if (pending.tries++ < MAXIMUM_RETRIES) return;
    commands.splice(index, 1);
    if (isAwake(pending.entry)) pending.onNoResponse();
  };

  handleAttempt(entries[0]);
  for (const choice of script) {
    const events = enabledEvents();
    events[choice % events.length]();
  }
  return {
    doubled: [...starts.values()].filter((count) => count > 1).length,
    falseNotRun: instances.filter((instance) =>
      instance.endedNotRun &&
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

function createPartMessage(
  kind: PartMessageKind,
  attempt: number,
  part: number,
): RequestMessage {
  return kind === "part-ended"
    ? { kind, attempt, part, answer: "" }
    : { kind, attempt, part };
}

function messageKindAfterStop(state: LeaseState | undefined): PartMessageKind {
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

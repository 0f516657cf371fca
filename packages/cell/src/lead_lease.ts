import {
  type Clock,
  describeError,
  type Logger,
  type Milliseconds,
  pause,
  UnavailableError,
} from "@rattanhill/shared";
import type { Store, StoredRecord } from "./store.ts";
import { createTopicFollower } from "./topic_follower.ts";

/** Decides which entry leads a cell, by conditional appends to a topic. */
export interface LeadLease {
  /** @returns whether this process leads now */
  isHeld(): boolean;
  /** @returns name of the last known lead */
  holder(): string | undefined;
  /** Gives the lead away, for a graceful shutdown. */
  release(): Promise<void>;
  /** Stops; a lead that is held is kept until its lease runs out. */
  close(): void;
}

/** Options of {@link createLeadLease}. */
export interface LeadLeaseOptions {
  store: Store;
  topic: string;
  /** The VM of this process; at most one process of it lives at a time. */
  node: string;
  /** Tells the lives of this VM's processes apart. */
  incarnation: string;
  clock: Clock;
  log: Logger;
  /** Uniform random number from 0 to 1. */
  random(): number;
  /** How well this VM can lead, 0 to 1; the strongest candidate contests first. */
  electionPriority: number;
  /** This process leads with a new term; higher than every one before. */
  onGained(term: number): void;
  /** This process leads no longer. */
  onLost(): void;
  /** Whether this process may lead, asked before each try. */
  mayLead(): boolean;
}

/** How long a lead is valid after the start of its renewal. */
export const LEAD_LEASE_MS: Milliseconds = 1_500; // two renewals may fail
const RENEWAL_INTERVAL_MS: Milliseconds = 400;
/** A lead stops this long before a successor may start. */
const SAFETY_MARGIN_MS: Milliseconds = 150; // covers timers that fire late
const APPEND_TIMEOUT_MS: Milliseconds = 600; // a store slowed sixtyfold takes 0.3 s
const CHECK_INTERVAL_MS: Milliseconds = 100;
/** Longest time that a weak candidate leaves to stronger ones. */
const MAXIMUM_PRIORITY_DELAY_MS: Milliseconds = 400; // several answers of a slow store; short against the lease
const CAMPAIGN_JITTER_MS: Milliseconds = 60; // keeps candidates from contesting in the same moment

interface LeadRecord {
  holder: string;
  term: number;
  /** Number of the renewal, to recognise an own record. */
  renewal: number;
  isReleased: boolean;
}

/**
 * Starts to take part in the choice of a lead.
 *
 * @param options the topic, this process and what to do when it leads
 * @returns the lease
 */
export function createLeadLease(options: LeadLeaseOptions): LeadLease {
  const { store, topic, node, clock, log, random } = options;
  const holder = `${node}/${options.incarnation}`;
  let newestRecord: LeadRecord | undefined;
  let endOffset = 0;
  /** Time at which the newest record was seen; its writer's lease is shorter. */
  let newestSeenAt = clock.now();
  let heldLease: {
    term: number;
    monotonicMs: Milliseconds;
    wallMs: Milliseconds;
  } | undefined;
  let renewal = 0;
  let isClosed = false;
  let isReleasing = false;
  let isChecking = false;

  const follower = createTopicFollower({
    store,
    topic,
    clock,
    log,
    waitMs: READ_WAIT_MS,
    readIntervalMs: () => 0,
    apply: (records) => records.forEach(applyRecord),
  });

  function applyRecord({ offset, value }: StoredRecord): void {
    if (offset < endOffset || value === undefined) return;
    endOffset = offset + 1;
    const record = parseLeadRecord(value);
    if (record === undefined) {
      log.warn({ topic, offset }, "lead record skipped: unreadable");
      return;
    }
    if (newestRecord?.holder !== record.holder) {
      log.info({ lead: record.holder, term: record.term }, "lead changed");
    }
    newestRecord = record;
    newestSeenAt = clock.now();
    if (heldLease !== undefined && record.holder !== holder) {
      loseLead("overtaken");
    }
  }

  const isHeld = (): boolean =>
    heldLease !== undefined &&
    clock.now() < heldLease.monotonicMs + LEAD_LEASE_MS - SAFETY_MARGIN_MS &&
    clock.wallTime() < heldLease.wallMs + LEAD_LEASE_MS - SAFETY_MARGIN_MS;

  function loseLead(reason: string): void {
    if (heldLease === undefined) return;
    const { term } = heldLease;
    heldLease = undefined;
    log.warn({ term, reason }, "lead lost");
    options.onLost();
  }

  /** Appends a record of this process. @returns whether it is in the topic */
  const appendRecord = async (record: LeadRecord): Promise<boolean> => {
    const expectedEnd = endOffset;
    const value = JSON.stringify(record);
    try {
      const result = await store.append(topic, [{ key: "lead", value }], {
        at: expectedEnd,
        timeoutMs: APPEND_TIMEOUT_MS,
      });
      if (result.kind === "appended") {
        applyRecord({ key: "lead", value, offset: expectedEnd });
        return true;
      }
    } catch (error) {
      log.warn(
        { term: record.term, error: describeError(error) },
        "lead append failed",
      );
      if (error instanceof UnavailableError) return false;
    }
    // An earlier try may have been done although its answer was lost.
    return await isStoredAt(expectedEnd, record);
  };

  const isStoredAt = async (
    at: number,
    record: LeadRecord,
  ): Promise<boolean> => {
    try {
      const result = await store.read(topic, at, {
        waitMs: 0,
        timeoutMs: APPEND_TIMEOUT_MS,
      });
      if (result.kind === "expired") return false;
      result.records.forEach(applyRecord);
      const stored = result.records.find(({ offset }) => offset === at);
      const found = stored?.value === undefined
        ? undefined
        : parseLeadRecord(stored.value);
      return found?.holder === holder && found.renewal === record.renewal;
    } catch (error) {
      log.warn({ error: describeError(error) }, "lead not read back");
      return false;
    }
  };

  const campaign = async (): Promise<void> => {
    const priorityGap = 1 - options.electionPriority;
    await pause(
      priorityGap * MAXIMUM_PRIORITY_DELAY_MS + random() * CAMPAIGN_JITTER_MS,
    );
    if (!isLeadVacant() || isClosed) return;
    const sentAt = { monotonicMs: clock.now(), wallMs: clock.wallTime() };
    const term = (newestRecord?.term ?? 0) + 1;
    renewal += 1;
    if (!await appendRecord({ holder, term, renewal, isReleased: false })) {
      return;
    }
    if (isClosed || isReleasing) return;
    heldLease = { term, ...sentAt };
    if (!isHeld()) {
      heldLease = undefined;
      return;
    }
    log.info({ term, holder }, "lead gained");
    options.onGained(term);
  };

  const renew = async (): Promise<void> => {
    if (heldLease === undefined) return;
    const { term } = heldLease;
    const sentAt = { monotonicMs: clock.now(), wallMs: clock.wallTime() };
    renewal += 1;
    const isStored = await appendRecord({
      holder,
      term,
      renewal,
      isReleased: false,
    });
    if (isStored && heldLease?.term === term) heldLease = { term, ...sentAt };
  };

  const isLeadVacant = (): boolean => {
    if (!follower.isLoaded() || heldLease !== undefined) return false;
    if (follower.ageMs() > MAXIMUM_FOLLOWER_AGE_MS || !options.mayLead()) {
      return false;
    }
    if (newestRecord === undefined || newestRecord.isReleased) return true;
    // The lead was an earlier process of this VM, which has ended.
    if (newestRecord.holder.startsWith(`${node}/`)) return true;
    return clock.now() - newestSeenAt > LEAD_LEASE_MS;
  };

  let lastRenewalAt = 0;
  const checkLease = async (): Promise<void> => {
    if (heldLease !== undefined && !isHeld()) loseLead("lease ran out");
    if (isChecking || isReleasing || isClosed) return;
    isChecking = true;
    try {
      if (heldLease !== undefined) {
        if (clock.now() - lastRenewalAt < RENEWAL_INTERVAL_MS) return;
        lastRenewalAt = clock.now();
        await renew();
      } else if (isLeadVacant()) {
        await campaign();
        lastRenewalAt = clock.now();
      }
    } finally {
      isChecking = false;
    }
  };
  const timer = setInterval(() => void checkLease(), CHECK_INTERVAL_MS);

  return {
    isHeld,
    holder: () => newestRecord?.holder,
    release: async () => {
      isReleasing = true;
      if (!isHeld() || heldLease === undefined) return;
      const { term } = heldLease;
      loseLead("released");
      renewal += 1;
      await appendRecord({ holder, term, renewal, isReleased: true });
    },
    close: () => {
      isClosed = true;
      clearInterval(timer);
      follower.close();
    },
  };
}

const READ_WAIT_MS: Milliseconds = 1_000;
/** A candidate must know the topic's end. */
const MAXIMUM_FOLLOWER_AGE_MS: Milliseconds = 1_800; // one read that waits, and its answer

function parseLeadRecord(value: string): LeadRecord | undefined {
  try {
    return JSON.parse(value) as LeadRecord;
  } catch {
    return undefined; // the caller logs it
  }
}

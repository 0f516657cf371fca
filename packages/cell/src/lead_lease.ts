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

/**
 * Election of a cell's lead: a lease that is taken and renewed by conditional
 * appends to a topic.
 */
export interface LeadLease {
  /** @returns whether this process holds a valid lease now */
  isHeld(): boolean;
  /** @returns VM and incarnation of the last known lead */
  holder(): string | undefined;
  /**
   * Gives up the lead before a graceful shutdown, so that another entry takes
   * over at once.
   */
  release(): Promise<void>;
  /**
   * Stops renewing and campaigning; a lease that is held stays valid until it
   * expires.
   */
  close(): void;
}

/** Options of {@link createLeadLease}. */
export interface LeadLeaseOptions {
  store: Store;
  /** Topic of the lease's records. */
  topic: string;
  /** The VM of this process; at most one of its processes runs at a time. */
  node: string;
  /**
   * Identifies this process among all that run on the VM one after the other.
   */
  incarnation: string;
  clock: Clock;
  log: Logger;
  /** Uniform random number from 0 to 1. */
  random(): number;
  /**
   * Suitability of this VM as the lead, 0 to 1; higher ones campaign earlier.
   */
  electionPriority: number;
  /**
   * Called when this process becomes the lead. The term is higher than every
   * earlier one.
   */
  onGained(term: number): void;
  /** Called when this process is no longer the lead. */
  onLost(): void;
  /** Whether this process may become the lead; asked before each campaign. */
  mayLead(): boolean;
}

/**
 * Validity of the lease, counted from the time at which the renewal was sent.
 */
export const LEAD_LEASE_MS: Milliseconds = 1_500; // outlasts two failed renewals
const RENEWAL_INTERVAL_MS: Milliseconds = 400;
/** A lead stops this long before a successor may start. */
const SAFETY_MARGIN_MS: Milliseconds = 150; // covers timers that fire late
const APPEND_TIMEOUT_MS: Milliseconds = 600; // a store slowed 60-fold answers in 0.3 s
const CHECK_INTERVAL_MS: Milliseconds = 100;
/** Delay of a campaign at priority 0; it falls linearly to none at priority 1. */
const MAXIMUM_PRIORITY_DELAY_MS: Milliseconds = 400; // several answers of a slow store, and short compared with the lease
const CAMPAIGN_JITTER_MS: Milliseconds = 60; // keeps equal candidates from campaigning at the same moment

/** Record of the lease, stored as JSON under these field names. */
interface LeadRecord {
  /** VM and incarnation of the lead. */
  holder: string;
  term: number;
  /**
   * Number of the append within the process, by which it recognizes its own
   * record.
   */
  renewal: number;
  isReleased: boolean;
}

/**
 * Starts to take part in the election of a cell's lead.
 *
 * @param options the topic, this process and its callbacks
 * @returns the lease as seen by this process
 */
export function createLeadLease(options: LeadLeaseOptions): LeadLease {
  const { store, topic, node, clock, log, random } = options;
  const holder = `${node}/${options.incarnation}`;
  let newestRecord: LeadRecord | undefined;
  let endOffset = 0;
  /**
   * Time at which the newest record was read. Its writer counts the lease from
   * an earlier time, so a lease counted from here does not end too early.
   */
  let newestSeenAt = clock.now();
  /** Own lease, with the time at which its last stored renewal was sent. */
  let held: {
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
      log.warn({ topic, offset }, "lease record skipped: not valid JSON");
      return;
    }
    if (newestRecord?.holder !== record.holder) {
      log.info({ lead: record.holder, term: record.term }, "lead changed");
    }
    newestRecord = record;
    newestSeenAt = clock.now();
    if (held !== undefined && record.holder !== holder) loseLead("lease taken");
  }

  const isHeld = (): boolean =>
    held !== undefined &&
    clock.now() < held.monotonicMs + LEAD_LEASE_MS - SAFETY_MARGIN_MS &&
    clock.wallTime() < held.wallMs + LEAD_LEASE_MS - SAFETY_MARGIN_MS;

  function loseLead(reason: string): void {
    if (held === undefined) return;
    const { term } = held;
    held = undefined;
    log.warn({ term, reason }, "lead lost");
    options.onLost();
  }

  /**
   * Appends a record at the known end of the topic.
   *
   * @returns whether it is stored
   */
  const appendOwn = async (record: LeadRecord): Promise<boolean> => {
    const expectedEnd = endOffset;
    const value = JSON.stringify(record);
    try {
      const result = await store.append(topic, [{ key: "lead", value }], {
        expectedEndOffset: expectedEnd,
        timeoutMs: APPEND_TIMEOUT_MS,
      });
      if (result.kind === "appended") {
        applyRecord({ key: "lead", value, offset: expectedEnd });
        return true;
      }
    } catch (error) {
      log.warn(
        { term: record.term, error: describeError(error) },
        "append of lease record failed",
      );
      if (error instanceof UnavailableError) return false;
    }
    // The append may have been done although its answer was lost.
    return await isStoredAt(expectedEnd, record);
  };

  /**
   * Reads the topic to see whether a record of this process is at an offset.
   */
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
      log.warn(
        { error: describeError(error) },
        "lease record could not be read back",
      );
      return false;
    }
  };

  /** Tries to take a vacant lead with the next term. */
  const campaign = async (): Promise<void> => {
    const priorityGap = 1 - options.electionPriority;
    await pause(
      priorityGap * MAXIMUM_PRIORITY_DELAY_MS + random() * CAMPAIGN_JITTER_MS,
    );
    if (!mayCampaign() || isClosed) return;
    const sentAt = { monotonicMs: clock.now(), wallMs: clock.wallTime() };
    const term = (newestRecord?.term ?? 0) + 1;
    renewal += 1;
    if (!await appendOwn({ holder, term, renewal, isReleased: false })) return;
    if (isClosed || isReleasing) return;
    held = { term, ...sentAt };
    if (!isHeld()) {
      held = undefined;
      return;
    }
    log.info({ term, holder }, "lead gained");
    options.onGained(term);
  };

  /** Extends the held lease; a renewal that fails is repeated by a later one. */
  const renew = async (): Promise<void> => {
    if (held === undefined) return;
    const { term } = held;
    const sentAt = { monotonicMs: clock.now(), wallMs: clock.wallTime() };
    renewal += 1;
    const isStored = await appendOwn({
      holder,
      term,
      renewal,
      isReleased: false,
    });
    if (isStored && held?.term === term) held = { term, ...sentAt };
  };

  /** Tells whether this process may campaign for the lead now. */
  const mayCampaign = (): boolean => {
    if (!follower.isLoaded() || held !== undefined) return false;
    if (follower.ageMs() > MAXIMUM_AGE_MS || !options.mayLead()) return false;
    if (newestRecord === undefined || newestRecord.isReleased) return true;
    // The holder is an earlier process of this VM, which has ended.
    if (newestRecord.holder.startsWith(`${node}/`)) return true;
    return clock.now() - newestSeenAt > LEAD_LEASE_MS;
  };

  let lastRenewalAt = 0;
  /** Runs periodically: notices expiry, renews a held lease or campaigns. */
  const checkLease = async (): Promise<void> => {
    if (held !== undefined && !isHeld()) loseLead("lease expired");
    if (isChecking || isReleasing || isClosed) return;
    isChecking = true;
    try {
      if (held !== undefined) {
        if (clock.now() - lastRenewalAt < RENEWAL_INTERVAL_MS) return;
        lastRenewalAt = clock.now();
        await renew();
      } else if (mayCampaign()) {
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
      if (!isHeld() || held === undefined) return;
      const { term } = held;
      loseLead("released");
      renewal += 1;
      await appendOwn({ holder, term, renewal, isReleased: true });
    },
    close: () => {
      isClosed = true;
      clearInterval(timer);
      follower.close();
    },
  };
}

const READ_WAIT_MS: Milliseconds = 1_000;
/** A candidate must have read the topic's end within this time. */
const MAXIMUM_AGE_MS: Milliseconds = 1_800; // covers a read that waits 1 s, and its answer

function parseLeadRecord(value: string): LeadRecord | undefined {
  try {
    return JSON.parse(value) as LeadRecord;
  } catch {
    return undefined; // logged by the caller
  }
}

import {
  type Clock,
  describeError,
  type Instant,
  type Logger,
  type Milliseconds,
  pause,
  readInstant,
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
  /**
   * @returns whether this process holds a lease that should have been renewed
   * by now, so that it may soon expire
   */
  isRenewalOverdue(): boolean;
  /** @returns VM and incarnation of the last known lead */
  holder(): string | undefined;
  /**
   * Releases the lease before a graceful shutdown, so that another entry can
   * take over at once.
   */
  release(): Promise<void>;
  /**
   * Gives up a lease that is held, and goes on to take part in elections.
   */
  yield(): Promise<void>;
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
  /** Name of the VM; at most one entry process runs on it at a time. */
  node: string;
  /**
   * Distinguishes this process from earlier and later ones on the same VM.
   */
  incarnation: string;
  clock: Clock;
  log: Logger;
  /** @returns a uniformly distributed random number from 0 to 1 */
  random(): number;
  /**
   * Suitability of this VM as the lead, 0 to 1; VMs with a higher value
   * campaign earlier.
   */
  electionPriority: number;
  /**
   * Called when this process becomes the lead. The term is higher than every
   * fencing token of earlier leads; see {@link TOKENS_PER_TERM}.
   */
  onGained(term: number): void;
  /** Called when this process is no longer the lead. */
  onLost(): void;
  /**
   * Called before each campaign.
   *
   * @returns whether this process may become the lead
   */
  mayLead(): boolean;
}

/**
 * Validity of the lease, counted from the time at which its last renewal was
 * sent. The lease outlasts two failed renewals.
 */
export const LEAD_LEASE_MS: Milliseconds = 1_500;
/**
 * Number of fencing tokens that a lead may use, from its term on. The next term
 * is higher than all of them.
 */
export const TOKENS_PER_TERM = 10_000;
const RENEWAL_INTERVAL_MS: Milliseconds = 400;
// Age of the last renewal from which the next one is overdue. It leaves half a
// second to tell workers.
const RENEWAL_OVERDUE_MS: Milliseconds = 800;
// A lead regards its lease as expired this long before another process may take
// it, to allow for timers that fire late.
const SAFETY_MARGIN_MS: Milliseconds = 150;
// A store that is slowed down 60-fold answers in 0.3 s.
const APPEND_TIMEOUT_MS: Milliseconds = 600;
const CHECK_INTERVAL_MS: Milliseconds = 100;
// Delay of a campaign at election priority 0; it falls linearly to 0 ms at
// priority 1. It covers several answers of a slow store, and is short compared
// with the lease.
const MAXIMUM_PRIORITY_DELAY_MS: Milliseconds = 400;
// Upper bound of the random delay that keeps candidates of equal priority from
// campaigning at the same moment.
const CAMPAIGN_JITTER_MS: Milliseconds = 60;

/** Record of the lease, stored as JSON under these field names. */
interface LeadRecord {
  /** VM and incarnation of the lead. */
  holder: string;
  /** Highest fencing token that the lead may use. */
  term: number;
  /**
   * Sequence number of the append within its process, by which the process
   * recognizes the record when it reads it back.
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
   * Monotonic time at which the newest record was read. Its writer counts the
   * lease from an earlier time, so a lease counted from here does not end too
   * early.
   */
  let newestSeenAt = clock.now();
  /**
   * Lease of this process, with the time at which its last stored renewal was
   * sent; undefined while this process is not the lead.
   */
  let held: ({ term: number } & Instant) | undefined;
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
    readIntervalMs: () =>
      held === undefined
        ? (1 - options.electionPriority) * MAXIMUM_READ_INTERVAL_MS
        : MAXIMUM_READ_INTERVAL_MS,
    apply: (records) => records.forEach(applyRecord),
  });

  function applyRecord({ offset, value }: StoredRecord): void {
    if (offset < endOffset || value === undefined) return;
    endOffset = offset + 1;
    const record = parseLeadRecord(value);
    if (record === undefined) {
      log.warn({ topic, offset }, "invalid lease record skipped");
      return;
    }
    if (newestRecord?.holder !== record.holder) {
      log.info({ lead: record.holder, lastToken: record.term }, "lead changed");
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
  const appendLeaseRecord = async (record: LeadRecord): Promise<boolean> => {
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
    // The append may have succeeded although it was not confirmed.
    return await isStoredAt(expectedEnd, record);
  };

  /**
   * Reads the topic to check whether a record of this process is stored at an
   * offset. Returns false when the read fails.
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

  /** Tries to take a vacant lease with the next term. */
  const campaign = async (): Promise<void> => {
    const priorityGap = 1 - options.electionPriority;
    await pause(
      priorityGap * MAXIMUM_PRIORITY_DELAY_MS + random() * CAMPAIGN_JITTER_MS,
    );
    if (!mayCampaign() || isClosed) return;
    const sentAt = readInstant(clock);
    const term = (newestRecord?.term ?? 0) + 1;
    renewal += 1;
    if (
      !await appendLeaseRecord({
        holder,
        term: lastTokenOf(term),
        renewal,
        isReleased: false,
      })
    ) return;
    if (isClosed || isReleasing) return;
    held = { term, ...sentAt };
    if (!isHeld()) {
      held = undefined;
      return;
    }
    log.info({ term, holder }, "lead gained");
    options.onGained(term);
  };

  /**
   * Renews the held lease. After a failure, the lease keeps its end, and the
   * next renewal follows at the usual interval.
   */
  const renew = async (): Promise<void> => {
    if (held === undefined) return;
    const { term } = held;
    const sentAt = readInstant(clock);
    renewal += 1;
    const isStored = await appendLeaseRecord({
      holder,
      term: lastTokenOf(term),
      renewal,
      isReleased: false,
    });
    // Work that met the expired lease was dropped, so the term cannot go on.
    if (held !== undefined && !isHeld()) loseLead("lease expired");
    if (isStored && held?.term === term) held = { term, ...sentAt };
  };

  const giveUpLease = async (): Promise<void> => {
    if (!isHeld() || held === undefined) return;
    const { term } = held;
    loseLead("released");
    renewal += 1;
    await appendLeaseRecord({
      holder,
      term: lastTokenOf(term),
      renewal,
      isReleased: true,
    });
  };

  /** Checks whether this process may campaign for the lease now. */
  const mayCampaign = (): boolean => {
    if (!follower.isLoaded() || held !== undefined) return false;
    if (follower.ageMs() > MAXIMUM_AGE_MS || !options.mayLead()) return false;
    if (newestRecord === undefined || newestRecord.isReleased) return true;
    // The holder is this process, whose lease has expired, or an earlier
    // process of this VM, which has ended.
    if (newestRecord.holder.startsWith(`${node}/`)) return true;
    return clock.now() - newestSeenAt > LEAD_LEASE_MS;
  };

  let lastRenewalAt = 0;
  /**
   * Ends an expired lease, renews a held one, or campaigns for a vacant one;
   * called periodically.
   */
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
    isRenewalOverdue: () =>
      held !== undefined &&
      clock.now() - held.monotonicMs > RENEWAL_OVERDUE_MS,
    holder: () => newestRecord?.holder,
    release: () => {
      isReleasing = true;
      return giveUpLease();
    },
    yield: giveUpLease,
    close: () => {
      isClosed = true;
      clearInterval(timer);
      follower.close();
    },
  };
}

const READ_WAIT_MS: Milliseconds = 1_000;
// Interval at which the lead and a candidate of election priority 0 read the
// topic; it falls linearly to 0 ms at priority 1. Each renewal of the lease ends
// the long poll of every entry, but few candidates have to see it at once.
const MAXIMUM_READ_INTERVAL_MS: Milliseconds = 1_200;
// A candidate must have read the topic within this time, which covers a read
// that waits 1 s, and the store's answer.
const MAXIMUM_AGE_MS: Milliseconds = 1_800;

/** @returns the highest fencing token of a term */
function lastTokenOf(term: number): number {
  return term + TOKENS_PER_TERM - 1;
}

/** @returns the record; undefined when it is not valid, which callers log */
function parseLeadRecord(value: string): LeadRecord | undefined {
  try {
    const record = JSON.parse(value);
    const isValid = typeof record?.holder === "string" &&
      Number.isSafeInteger(record.term) &&
      Number.isSafeInteger(record.renewal);
    return isValid ? record : undefined;
  } catch {
    return undefined;
  }
}

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
  strength: number;
  /** This process leads with a new term; higher than every one before. */
  gained(term: number): void;
  /** This process leads no longer. */
  lost(): void;
  /** Whether this process may lead, asked before each try. */
  mayLead(): boolean;
}

/** How long a lead is valid after the start of its renewal. */
export const LEAD_LEASE_MS: Milliseconds = 1_500; // two renewals may fail
const RENEWAL_MS: Milliseconds = 400;
/** A lead stops this long before a successor may start. */
const SAFETY_MS: Milliseconds = 150; // covers timers that fire late
const APPEND_TIMEOUT_MS: Milliseconds = 600; // a store slowed sixtyfold takes 0.3 s
const CHECK_MS: Milliseconds = 100;
/** Longest time that a weak candidate leaves to stronger ones. */
const WEAKNESS_DELAY_MS: Milliseconds = 400; // several answers of a slow store; short against the lease
const CONTEST_JITTER_MS: Milliseconds = 60; // keeps candidates from contesting in the same moment

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
  let newest: LeadRecord | undefined;
  let end = 0;
  /** Time at which the newest record was seen; its writer's lease is shorter. */
  let seenAt = clock.now();
  let held: { term: number; now: Milliseconds; wall: Milliseconds } | undefined;
  let renewal = 0;
  let isClosed = false;
  let isReleasing = false;
  let isBusy = false;

  const follower = createTopicFollower({
    store,
    topic,
    clock,
    log,
    waitMs: FOLLOW_WAIT_MS,
    paceMs: () => 0,
    apply: (records) => records.forEach(take),
  });

  function take({ offset, value }: StoredRecord): void {
    if (offset < end || value === undefined) return;
    end = offset + 1;
    const record = parse(value);
    if (record === undefined) {
      log.warn({ topic, offset }, "lead record skipped: unreadable");
      return;
    }
    if (newest?.holder !== record.holder) {
      log.info({ lead: record.holder, term: record.term }, "lead changed");
    }
    newest = record;
    seenAt = clock.now();
    if (held !== undefined && record.holder !== holder) drop("overtaken");
  }

  const isHeld = (): boolean =>
    held !== undefined &&
    clock.now() < held.now + LEAD_LEASE_MS - SAFETY_MS &&
    clock.wallTime() < held.wall + LEAD_LEASE_MS - SAFETY_MS;

  function drop(reason: string): void {
    if (held === undefined) return;
    const { term } = held;
    held = undefined;
    log.warn({ term, reason }, "lead lost");
    options.lost();
  }

  /** Appends a record of this process. @returns whether it is in the topic */
  const write = async (record: LeadRecord): Promise<boolean> => {
    const at = end;
    const value = JSON.stringify(record);
    try {
      const result = await store.append(topic, [{ key: "lead", value }], {
        at,
        timeoutMs: APPEND_TIMEOUT_MS,
      });
      if (result.kind === "appended") {
        take({ key: "lead", value, offset: at });
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
    return await isOwnAt(at, record);
  };

  const isOwnAt = async (at: number, record: LeadRecord): Promise<boolean> => {
    try {
      const result = await store.read(topic, at, {
        waitMs: 0,
        timeoutMs: APPEND_TIMEOUT_MS,
      });
      if (result.kind === "expired") return false;
      result.records.forEach(take);
      const stored = result.records.find(({ offset }) => offset === at);
      const found = stored?.value === undefined
        ? undefined
        : parse(stored.value);
      return found?.holder === holder && found.renewal === record.renewal;
    } catch (error) {
      log.warn({ error: describeError(error) }, "lead not read back");
      return false;
    }
  };

  const contest = async (): Promise<void> => {
    const weakness = 1 - options.strength;
    await pause(weakness * WEAKNESS_DELAY_MS + random() * CONTEST_JITTER_MS);
    if (!isVacant() || isClosed) return;
    const sent = { now: clock.now(), wall: clock.wallTime() };
    const term = (newest?.term ?? 0) + 1;
    renewal += 1;
    if (!await write({ holder, term, renewal, isReleased: false })) return;
    if (isClosed || isReleasing) return;
    held = { term, ...sent };
    if (!isHeld()) {
      held = undefined;
      return;
    }
    log.info({ term, holder }, "lead gained");
    options.gained(term);
  };

  const renew = async (): Promise<void> => {
    if (held === undefined) return;
    const { term } = held;
    const sent = { now: clock.now(), wall: clock.wallTime() };
    renewal += 1;
    const isStored = await write({ holder, term, renewal, isReleased: false });
    if (isStored && held?.term === term) held = { term, ...sent };
  };

  const isVacant = (): boolean => {
    if (!follower.isLoaded() || held !== undefined) return false;
    if (follower.age() > MAXIMUM_AGE_MS || !options.mayLead()) return false;
    if (newest === undefined || newest.isReleased) return true;
    // The lead was an earlier process of this VM, which has ended.
    if (newest.holder.startsWith(`${node}/`)) return true;
    return clock.now() - seenAt > LEAD_LEASE_MS;
  };

  let renewedAt = 0;
  const check = async (): Promise<void> => {
    if (held !== undefined && !isHeld()) drop("lease ran out");
    if (isBusy || isReleasing || isClosed) return;
    isBusy = true;
    try {
      if (held !== undefined) {
        if (clock.now() - renewedAt < RENEWAL_MS) return;
        renewedAt = clock.now();
        await renew();
      } else if (isVacant()) {
        await contest();
        renewedAt = clock.now();
      }
    } finally {
      isBusy = false;
    }
  };
  const timer = setInterval(() => void check(), CHECK_MS);

  return {
    isHeld,
    holder: () => newest?.holder,
    release: async () => {
      isReleasing = true;
      if (!isHeld() || held === undefined) return;
      const { term } = held;
      drop("released");
      renewal += 1;
      await write({ holder, term, renewal, isReleased: true });
    },
    close: () => {
      isClosed = true;
      clearInterval(timer);
      follower.close();
    },
  };
}

const FOLLOW_WAIT_MS: Milliseconds = 1_000;
/** A candidate must know the topic's end. */
const MAXIMUM_AGE_MS: Milliseconds = 1_800; // one read that waits, and its answer

function parse(value: string): LeadRecord | undefined {
  try {
    return JSON.parse(value) as LeadRecord;
  } catch {
    return undefined; // the caller logs it
  }
}

import {
  createIdentifier,
  describeError,
  type EventLog,
  Events,
  type Milliseconds,
  pause,
} from "@rattanhill/shared";
import {
  type ConfigRecord,
  type ConfigState,
  createLedger,
  foldConfig,
  type Ledger,
  type LedgerRecord,
  LedgerVerdict,
  newerConfig,
  NO_CONFIG,
} from "@rattanhill/core";
import {
  decodeConfigRecord,
  type Decoded,
  decodeLedgerRecord,
  type ReadResponse,
  Streams,
} from "@rattanhill/protocol";
import type { PlatformClient } from "@rattanhill/platform";

/** Callbacks of a {@link LogFollower}. */
export interface FollowerListener {
  /** Called when a newer configuration has been put in force. */
  onConfigChange(config: ConfigState): void;
  /** Called after a record of the request stream was folded into the ledger. */
  onLedgerRecordFolded(record: LedgerRecord, verdict: LedgerVerdict): void;
}

/**
 * Reads the streams of the log by long polling and folds their records into the
 * configuration and the ledger.
 */
export interface LogFollower {
  start(): void;
  stop(): void;
  /** @returns the configuration in force */
  config(): ConfigState;
  /** Puts a peer's configuration in force if it is newer. */
  offerConfig(config: ConfigState): void;
  /** State of all idempotency keys, folded from the records read so far. */
  ledger: Ledger;
  /**
   * @returns whether the request stream has been read to its end since the
   * start, and the log responded to the last read
   */
  isCurrent(): boolean;
  /**
   * @returns whether the log responded to the last read of the request stream
   */
  isAvailable(): boolean;
  /**
   * Reads the request stream to its end at once.
   *
   * @returns whether the log responded to every read
   */
  readToEnd(): Promise<boolean>;
  /**
   * Removes ledger entries whose newest record is older than twice the claim
   * window, except jobs in progress.
   */
  removeOldEntries(claimWindowMs: Milliseconds): void;
  /**
   * @returns the retention of the request stream, and the time of the last
   * response by the log's clock; both are 0 before the first response
   */
  logClock(): { retentionMs: Milliseconds; now: Milliseconds };
  /** @returns positions, configuration and ledger size for the state dump */
  describe(): Record<string, unknown>;
  /**
   * Appends the configuration again when half of the retention has passed since
   * its newest record, so that log retention never removes it.
   *
   * @param append appends a record to a stream
   */
  refreshConfig(append: (stream: string, record: ConfigRecord) => void): void;
}

/** Options of {@link createLogFollower}. */
export interface FollowerOptions {
  platform: PlatformClient;
  log: EventLog;
  listener: FollowerListener;
}

/** Progress in one stream; shown as it is in the state dump. */
interface StreamPosition {
  /** Offset of the next record to read. */
  next: number;
  /** Offset after the last record, as of the last response. */
  end: number;
  /** Whether the stream has been read to its end since the start. */
  isCaughtUp: boolean;
  /** Whether the log responded to the last read. */
  isAvailable: boolean;
  /** Time for which the log keeps records. */
  retentionMs: Milliseconds;
  /** Time of the last response, by the log's clock. */
  now: Milliseconds;
}

const LONG_POLL_MS: Milliseconds = 1_000;
const RETRY_INTERVAL_MS: Milliseconds = 200;

/**
 * Creates a follower of the configuration and request streams.
 *
 * @param options platform, event log and listener
 * @returns the follower, not yet started
 */
export function createLogFollower(options: FollowerOptions): LogFollower {
  const { platform, log, listener } = options;
  const ledger = createLedger();
  const positions: Record<string, StreamPosition> = {
    [Streams.config]: createStreamPosition(),
    [Streams.requests]: createStreamPosition(),
  };
  let config = NO_CONFIG;
  let configRecordedAt: Milliseconds = 0;
  let isStopped = false;

  const followStream = async (
    stream: string,
    fold: (data: string, time: Milliseconds, offset: number) => void,
  ): Promise<void> => {
    const position = positions[stream];
    while (!isStopped) {
      try {
        const waitMs = position.isCaughtUp ? LONG_POLL_MS : 0;
        const page = await platform.read(stream, position.next, waitMs);
        if (isStopped) return;
        updateAvailability(stream, position, true);
        foldPage(stream, position, page, fold);
      } catch (error) {
        updateAvailability(stream, position, false, error);
        await pause(RETRY_INTERVAL_MS);
      }
    }
  };

  /**
   * Folds the records of a page that were not folded before: the reading loop
   * and `readToEnd` may fetch the same records.
   */
  const foldPage = (
    stream: string,
    position: StreamPosition,
    page: ReadResponse,
    fold: (data: string, time: Milliseconds, offset: number) => void,
  ): void => {
    // Log retention may have removed records before they were read.
    if (page.oldest > position.next) {
      if (position.next > 0) {
        log(Events.logTruncated, { stream, next: position.next });
      }
      position.next = page.oldest;
    }
    for (const { offset, time, data } of page.records) {
      if (offset < position.next) continue;
      position.next = offset + 1;
      fold(data, time, offset);
    }
    position.end = page.end;
    position.retentionMs = page.retentionMs;
    position.now = page.now;
    if (position.next < page.end) return;
    position.isCaughtUp = true;
  };

  /**
   * Records whether the log responded. Only changes are logged, not every
   * failed read.
   */
  const updateAvailability = (
    stream: string,
    position: StreamPosition,
    isAvailable: boolean,
    error?: unknown,
  ): void => {
    if (position.isAvailable === isAvailable) return;
    position.isAvailable = isAvailable;
    const event = isAvailable ? Events.logAvailable : Events.logUnavailable;
    const text = error === undefined ? undefined : describeError(error);
    log(event, { stream, error: text });
  };

  /** Logs and skips a record that could not be decoded. */
  const unwrapRecord = <Value>(
    stream: string,
    offset: number,
    decoded: Decoded<Value>,
  ): Value | undefined => {
    if ("value" in decoded) return decoded.value;
    log(Events.logRecordSkipped, { stream, offset, fault: decoded.fault });
    return undefined;
  };

  const foldConfigRecord = (
    data: string,
    time: Milliseconds,
    offset: number,
  ): void => {
    const decoded = decodeConfigRecord(data);
    const record = unwrapRecord(Streams.config, offset, decoded);
    if (record === undefined) return;
    const verdict = foldConfig(config, record);
    if (verdict.kind === "accepted") {
      configRecordedAt = time;
      applyConfig(verdict.state);
    } else if (record.kind === "carry" && record.base + 1 === config.version) {
      // The record repeats the configuration in force, so it changes only the
      // time of the newest record.
      configRecordedAt = time;
    } else if (verdict.kind === "overtaken") {
      const { version, author } = verdict.by;
      log(Events.rulesOvertaken, { version, author, loser: record.author });
    }
  };

  const foldLedgerRecord = (
    data: string,
    time: Milliseconds,
    offset: number,
  ): void => {
    const decoded = decodeLedgerRecord(data);
    const record = unwrapRecord(Streams.requests, offset, decoded);
    if (record === undefined) return;
    listener.onLedgerRecordFolded(record, ledger.fold(record, time));
  };

  const applyConfig = (next: ConfigState): void => {
    config = next;
    log(Events.rulesAccepted, { version: next.version, author: next.author });
    listener.onConfigChange(next);
  };

  return {
    start: () => {
      void followStream(Streams.config, foldConfigRecord);
      void followStream(Streams.requests, foldLedgerRecord);
    },
    stop: () => isStopped = true,
    config: () => config,
    offerConfig: (offered) => {
      const next = newerConfig(config, offered);
      if (next === config) return;
      log(Events.rulesFromPeer, { version: next.version });
      applyConfig(next);
    },
    ledger,
    isCurrent: () => {
      const { isCaughtUp, isAvailable } = positions[Streams.requests];
      return isCaughtUp && isAvailable;
    },
    isAvailable: () => positions[Streams.requests].isAvailable,
    readToEnd: async () => {
      const stream = Streams.requests;
      const position = positions[stream];
      try {
        for (;;) {
          const page = await platform.read(stream, position.next, 0);
          foldPage(stream, position, page, foldLedgerRecord);
          if (position.next >= page.end) return true;
        }
      } catch (error) {
        updateAvailability(stream, position, false, error);
        return false;
      }
    },
    removeOldEntries: (claimWindowMs) => {
      const { now } = positions[Streams.requests];
      // The age of a claim may be determined from the time in its key, which
      // can be ahead of the log's clock, so entries are kept for twice the
      // window.
      ledger.forgetBefore(now - 2 * claimWindowMs);
    },
    logClock: () => positions[Streams.requests],
    describe: () => ({ positions, config, ledger: ledger.size() }),
    refreshConfig: (append) => {
      const { retentionMs, now } = positions[Streams.config];
      const isDue = now - configRecordedAt > retentionMs / 2;
      if (config.version === 0 || retentionMs === 0 || !isDue) return;
      configRecordedAt = now;
      log(Events.rulesCarried, { version: config.version });
      const { version, text, author } = config;
      append(Streams.config, {
        kind: "carry",
        id: createIdentifier(),
        base: version - 1,
        text,
        author,
      });
    },
  };
}

function createStreamPosition(): StreamPosition {
  return {
    next: 0,
    end: 0,
    isCaughtUp: false,
    isAvailable: false,
    retentionMs: 0,
    now: 0,
  };
}

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

/** Notified of what the log brings. */
export interface FollowerListener {
  /** A newer configuration is in force. */
  configChanged(config: ConfigState): void;
  /** A record of the request stream was folded. */
  ledgerFolded(record: LedgerRecord, verdict: LedgerVerdict): void;
}

/** Follows the streams of the log and folds their records. */
export interface LogFollower {
  /** Starts reading. */
  start(): void;
  /** Stops reading. */
  stop(): void;
  /** @returns the configuration in force */
  config(): ConfigState;
  /** Takes a configuration that a peer has in force. */
  offerConfig(config: ConfigState): void;
  ledger: Ledger;
  /** @returns whether the request stream was read to its end and the log answers */
  isCurrent(): boolean;
  /** @returns whether the log answered the last read */
  isAvailable(): boolean;
  /** Reads the request stream to its end now. @returns whether the log answered */
  readToEnd(): Promise<boolean>;
  /** Forgets ended and released keys that are older than the claim window. */
  forgetOld(claimWindowMs: Milliseconds): void;
  /** @returns for how long the log keeps records, and its time; 0 before the first answer */
  logTime(): { retentionMs: Milliseconds; now: Milliseconds };
  /** @returns positions for the state dump */
  describe(): Record<string, unknown>;
  /** Runs the periodic work: forgetting old entries, repeating the configuration. */
  maintain(append: (stream: string, record: ConfigRecord) => void): void;
}

/** Options of {@link createLogFollower}. */
export interface FollowerOptions {
  platform: PlatformClient;
  log: EventLog;
  listener: FollowerListener;
}

interface StreamPosition {
  next: number;
  end: number;
  isCaughtUp: boolean;
  isAvailable: boolean;
  retentionMs: Milliseconds;
  now: Milliseconds;
}

const READ_WAIT_MS: Milliseconds = 1_000;
const RETRY_MS: Milliseconds = 200;

/**
 * Creates a follower of the configuration and request streams.
 *
 * @param options platform, clock and listener
 * @returns the follower, not yet started
 */
export function createLogFollower(options: FollowerOptions): LogFollower {
  const { platform, log, listener } = options;
  const ledger = createLedger();
  const positions: Record<string, StreamPosition> = {
    [Streams.config]: newPosition(),
    [Streams.requests]: newPosition(),
  };
  let config = NO_CONFIG;
  let configRecordedAt: Milliseconds = 0;
  let isStopped = false;

  const follow = async (
    stream: string,
    fold: (data: string, time: Milliseconds, offset: number) => void,
  ): Promise<void> => {
    const position = positions[stream];
    while (!isStopped) {
      try {
        const waitMs = position.isCaughtUp ? READ_WAIT_MS : 0;
        const page = await platform.read(stream, position.next, waitMs);
        if (isStopped) return;
        noteAvailable(stream, position, true);
        foldPage(stream, position, page, fold);
      } catch (error) {
        noteAvailable(stream, position, false, error);
        await pause(RETRY_MS);
      }
    }
  };

  const foldPage = (
    stream: string,
    position: StreamPosition,
    page: ReadResponse,
    fold: (data: string, time: Milliseconds, offset: number) => void,
  ): void => {
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

  const noteAvailable = (
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

  const readRecord = <Value>(
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
    const record = readRecord(Streams.config, offset, decoded);
    if (record === undefined) return;
    const verdict = foldConfig(config, record);
    if (verdict.kind === "accepted") {
      configRecordedAt = time;
      setConfig(verdict.state);
    } else if (record.kind === "carry" && record.base + 1 === config.version) {
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
    const record = readRecord(Streams.requests, offset, decoded);
    if (record === undefined) return;
    listener.ledgerFolded(record, ledger.fold(record, time));
  };

  const setConfig = (next: ConfigState): void => {
    config = next;
    log(Events.rulesAccepted, { version: next.version, author: next.author });
    listener.configChanged(next);
  };

  return {
    start: () => {
      void follow(Streams.config, foldConfigRecord);
      void follow(Streams.requests, foldLedgerRecord);
    },
    stop: () => isStopped = true,
    config: () => config,
    offerConfig: (offered) => {
      const next = newerConfig(config, offered);
      if (next === config) return;
      log(Events.rulesFromPeer, { version: next.version });
      setConfig(next);
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
        noteAvailable(stream, position, false, error);
        return false;
      }
    },
    forgetOld: (claimWindowMs) => {
      const { now } = positions[Streams.requests];
      // Claims may be dated by their key's time, which may lie ahead of the log's clock.
      ledger.forgetBefore(now - 2 * claimWindowMs);
    },
    logTime: () => positions[Streams.requests],
    describe: () => ({ positions, config, ledger: ledger.size() }),
    maintain: (append) => {
      const { retentionMs, now } = positions[Streams.config];
      const isOld = now - configRecordedAt > retentionMs / 2;
      if (config.version === 0 || retentionMs === 0 || !isOld) return;
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

function newPosition(): StreamPosition {
  return {
    next: 0,
    end: 0,
    isCaughtUp: false,
    isAvailable: false,
    retentionMs: 0,
    now: 0,
  };
}

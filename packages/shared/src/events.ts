import createDebug from "debug";

/**
 * Catalogue of log events. A test compares it with the table for operators in
 * `docs/EVENTS.md`.
 */
export const Events = {
  processStarted: { number: 1000, text: "process started" },
  processReady: { number: 1001, text: "process ready" },
  drainStarted: { number: 1002, text: "graceful shutdown started" },
  processStopped: { number: 1003, text: "process stopped" },
  unexpectedError: { number: 1004, text: "unexpected error" },
  logUnavailable: { number: 1100, text: "log unavailable" },
  logAvailable: { number: 1101, text: "log available again" },
  logRecordSkipped: { number: 1102, text: "log record skipped" },
  logTruncated: { number: 1103, text: "log truncated past the read position" },
  appendUncertain: { number: 1104, text: "append not confirmed" },
  rulesAccepted: { number: 1200, text: "rules accepted" },
  rulesOvertaken: {
    number: 1201,
    text: "rules overtaken: another version was accepted first",
  },
  rulesFromPeer: { number: 1202, text: "rules received from a peer" },
  rulesCarried: {
    number: 1203,
    text: "rules re-appended before their retention ends",
  },
  peerLost: { number: 1300, text: "peer lost" },
  peerFound: { number: 1301, text: "peer found" },
  leadChanged: { number: 1302, text: "zone lead changed" },
  workerFound: { number: 1400, text: "worker found" },
  workerLost: { number: 1401, text: "worker lost" },
  workerLeaving: { number: 1402, text: "worker leaving" },
  workerRestarted: { number: 1403, text: "worker restarted" },
  workerQuarantined: { number: 1404, text: "worker quarantined" },
  workerReleased: { number: 1405, text: "worker released from quarantine" },
  workerDamaged: { number: 1406, text: "worker sent a damaged answer" },
  requestAdmitted: { number: 1500, text: "request admitted" },
  requestAnswered: { number: 1501, text: "request answered" },
  requestRefused: { number: 1502, text: "request refused" },
  requestJoined: {
    number: 1503,
    text: "duplicate request joined the original",
  },
  requestAdopted: { number: 1504, text: "request adopted" },
  claimLost: { number: 1505, text: "claim lost to another entry" },
  leasePreempted: { number: 1600, text: "lease preempted" },
  reservationMade: { number: 1601, text: "reservation made" },
  reservationEnded: { number: 1602, text: "reservation ended" },
} as const;

/** One of the events in {@link Events}. */
export type Event = typeof Events[keyof typeof Events];

/** Values written with an event; undefined ones are omitted. */
export type EventFields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/** Writes an event as one line of the process's log. */
export type EventLog = (event: Event, fields?: EventFields) => void;

/**
 * Creates the event log of one component. Lines appear when the `DEBUG`
 * variable selects `rattanhill:<component>`.
 *
 * @param component name of the component
 * @param sink receives each line; by default, `debug` writes the line
 * @returns function that writes one event with its fields
 */
export function createEventLog(
  component: string,
  sink: (line: string) => void = createDebug(`rattanhill:${component}`),
): EventLog {
  return (event, fields = {}) => sink(formatEvent(event, fields));
}

function formatEvent(event: Event, fields: EventFields): string {
  const pairs = Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([name, value]) => `${name}=${JSON.stringify(value)}`);
  return [`E${event.number}`, event.text, ...pairs].join(" ");
}

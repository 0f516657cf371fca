/**
 * An event. `pick` selects the worker, call or run that the event concerns, the
 * time that passes, or whether the lead renews its lease.
 */
export interface ModelEvent {
  kind: typeof EVENT_KINDS[number];
  pick: number;
}

export const EVENT_KINDS = [
  /** The lead runs a planning pass. */
  "plan",
  /** The lead's batch is stored, and the store confirms it. */
  "store",
  /** The lead's batch is stored, but the confirmation is lost. */
  "storeUnconfirmed",
  /** Only the progress records of the lead's batch are stored, or the others. */
  "storePart",
  /** The lead takes a batch that is never stored, and goes on. */
  "loseBatch",
  /** A call reaches its worker and is answered. */
  "deliver",
  /** A call times out at the lead and stays in flight. */
  "timeOut",
  /** A call reaches its worker, but its answer is lost. */
  "loseAnswer",
  /** The lead polls a worker and renews its lease. */
  "poll",
  /** The lead polls a worker, whose answer is under way. */
  "ask",
  /** An answer reaches the lead, possibly after those to later polls. */
  "answer",
  /** A run succeeds. */
  "done",
  /** A run fails. */
  "failed",
  /** 0.1 to 4 s pass; runs whose lease has expired end. */
  "advance",
  /** The lead may renew its lease; if it has expired, a new lead takes over. */
  "takeover",
  /** In one of four cases, a worker crashes and restarts. */
  "restart",
  /**
   * In one of four cases, a worker crashes, and one with another id takes its
   * place on its VM; the platform may go on listing the first one for a while.
   */
  "replace",
  /** The lead reads the list of workers, without those that have crashed. */
  "list",
] as const;

/** Faults that can be injected and that the model must detect. */
export type InjectedFault =
  /** Start commands are sent before their placement is stored. */
  | "startBeforeStored"
  /** Run ends are acknowledged before they are stored. */
  | "acknowledgeBeforeStored"
  /** A new lead does not wait for the leases that earlier leads granted. */
  | "takeoverWithoutWait"
  /** A lead sends start commands after its own lease has expired. */
  | "startAfterLease"
  /** The fencing token is not raised when a worker restarts under its id. */
  | "constantToken"
  /** A refusal is taken for the answer to a start command that timed out. */
  | "refusalAfterTimeout";

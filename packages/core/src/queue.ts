import type { Milliseconds } from "@rattanhill/shared";
import type { RequestSpec } from "./shape.ts";
import { totalAccelerators } from "./shape.ts";

/** A request in the queue. */
export interface WaitingRequest {
  spec: RequestSpec;
  attempt: number;
  /** Workers to use only if the request fits nowhere else. */
  avoid: readonly string[];
  /** Time at which the request was first submitted to the placer. */
  since: Milliseconds;
  /** Arrival number, the last tie-breaker between requests of equal rank. */
  arrival: number;
  /** Run time that the placer plans with, either estimated or declared. */
  plannedMs: Milliseconds;
}

/**
 * Waiting requests of the same account, class, priority, shape and
 * preemptibility, in the order they were queued.
 */
export interface WaitingGroup {
  name: string;
  /** Requests by identifier. */
  requests: ReadonlyMap<string, WaitingRequest>;
}

/**
 * Waiting requests of a zone, in groups of equal requests, so that a pass need
 * not try the rest of a group whose head does not fit.
 */
export interface WaitingQueue {
  /** Adds a request at the end of its group, replacing its earlier attempt. */
  add(request: WaitingRequest): void;
  /**
   * Removes a request in constant time.
   *
   * @returns the request, if it was waiting
   */
  remove(id: string): WaitingRequest | undefined;
  /** @returns the waiting request of that identifier */
  find(id: string): WaitingRequest | undefined;
  /** @returns the non-empty groups */
  groups(): Iterable<WaitingGroup>;
  /** @returns the number of waiting requests, of the given class or of all */
  size(requestClass?: string): number;
  /**
   * @returns planned work, in accelerator-milliseconds, of waiting requests of
   * at least the given priority
   */
  totalWork(minimumPriority: number): number;
}

/**
 * Creates an empty queue.
 *
 * @returns the queue; adding, finding and removing take constant time
 */
export function createWaitingQueue(): WaitingQueue {
  const groups = new Map<string, Map<string, WaitingRequest>>();
  const groupNameById = new Map<string, string>();
  const sizeByClass = new Map<string, number>();
  const workByPriority = new Map<number, number>();

  const updateTotals = (request: WaitingRequest, sign: 1 | -1): void => {
    const { spec } = request;
    sizeByClass.set(spec.class, (sizeByClass.get(spec.class) ?? 0) + sign);
    const work = workByPriority.get(spec.priority) ?? 0;
    workByPriority.set(spec.priority, work + sign * plannedWork(request));
  };
  const find = (id: string) => groups.get(groupNameById.get(id) ?? "")?.get(id);
  const remove = (id: string): WaitingRequest | undefined => {
    const request = find(id);
    if (request === undefined) return undefined;
    const name = groupNameById.get(id)!;
    const group = groups.get(name)!;
    group.delete(id);
    if (group.size === 0) groups.delete(name);
    groupNameById.delete(id);
    updateTotals(request, -1);
    return request;
  };

  return {
    add: (request) => {
      remove(request.spec.id);
      const name = groupName(request.spec);
      const group = groups.get(name) ?? new Map<string, WaitingRequest>();
      groups.set(name, group);
      group.set(request.spec.id, request);
      groupNameById.set(request.spec.id, name);
      updateTotals(request, 1);
    },
    remove,
    find,
    groups: function* () {
      for (const [name, requests] of groups) yield { name, requests };
    },
    size: (requestClass) =>
      requestClass === undefined
        ? groupNameById.size
        : sizeByClass.get(requestClass) ?? 0,
    totalWork: (minimumPriority) => {
      let total = 0;
      for (const [priority, work] of workByPriority) {
        if (priority >= minimumPriority) total += work;
      }
      return total;
    },
  };
}

function groupName(spec: RequestSpec): string {
  const { parts, accelerators, adjacent } = spec.shape;
  return [
    spec.account,
    spec.class,
    spec.priority,
    parts,
    accelerators,
    adjacent,
    spec.preemptible,
  ].join("|");
}

function plannedWork({ spec, plannedMs }: WaitingRequest): number {
  return totalAccelerators(spec.shape) * plannedMs;
}

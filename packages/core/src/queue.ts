import type { Milliseconds } from "@rattanhill/shared";
import type { RequestSpec } from "./shape.ts";
import { totalAccelerators } from "./shape.ts";

/** A request that waits for its placement. */
export interface WaitingRequest {
  spec: RequestSpec;
  attempt: number;
  /** Workers that must not be used. */
  avoid: readonly string[];
  /** Time of arrival at the placer. */
  since: Milliseconds;
  /** Arrival number, to keep requests of one kind in order. */
  arrival: number;
  /** Run time to plan with. */
  plannedMs: Milliseconds;
}

/** Waiting requests that are alike in everything that decides their placement. */
export interface WaitingGroup {
  name: string;
  requests: ReadonlyMap<string, WaitingRequest>;
}

/** Waiting requests of a zone. */
export interface WaitingQueue {
  /** Adds a request, or replaces its earlier attempt. */
  add(request: WaitingRequest): void;
  /** Removes a request in constant time. @returns the request, if it was waiting */
  remove(id: string): WaitingRequest | undefined;
  /** @returns the waiting request of that identifier */
  find(id: string): WaitingRequest | undefined;
  /** @returns all groups that are not empty */
  groups(): Iterable<WaitingGroup>;
  /** @returns the number of waiting requests, of one class when given */
  size(requestClass?: string): number;
  /** @returns accelerator-milliseconds of waiting work of at least the given priority */
  totalWork(minimumPriority: number): number;
}

/**
 * Creates an empty queue.
 *
 * @returns the queue
 */
export function createWaitingQueue(): WaitingQueue {
  const groups = new Map<string, Map<string, WaitingRequest>>();
  const groupOf = new Map<string, string>();
  const sizes = new Map<string, number>();
  const workByPriority = new Map<number, number>();

  const updateTotals = (request: WaitingRequest, sign: 1 | -1): void => {
    const { spec } = request;
    sizes.set(spec.class, (sizes.get(spec.class) ?? 0) + sign);
    const work = workByPriority.get(spec.priority) ?? 0;
    workByPriority.set(spec.priority, work + sign * plannedWork(request));
  };
  const find = (id: string) => groups.get(groupOf.get(id) ?? "")?.get(id);
  const remove = (id: string): WaitingRequest | undefined => {
    const request = find(id);
    if (request === undefined) return undefined;
    const name = groupOf.get(id)!;
    const group = groups.get(name)!;
    group.delete(id);
    if (group.size === 0) groups.delete(name);
    groupOf.delete(id);
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
      groupOf.set(request.spec.id, name);
      updateTotals(request, 1);
    },
    remove,
    find,
    groups: function* () {
      for (const [name, requests] of groups) yield { name, requests };
    },
    size: (requestClass) =>
      requestClass === undefined ? groupOf.size : sizes.get(requestClass) ?? 0,
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

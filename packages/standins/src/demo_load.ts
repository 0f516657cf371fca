import type { SystemLayout } from "./system_layout.ts";
import type { CallerRequest } from "./caller.ts";

/** Requests of one account and class in the demo's load. */
interface LoadKind {
  account: string;
  class: string;
  /** Total number of requests. */
  count: number;
  repeatable: boolean;
  parts?: number;
  accelerators?: number;
  adjacent?: string;
  isAsync?: boolean;
  minimumRunMs: number;
  maximumRunMs: number;
}

// Load of both deployments: interactive requests, batch jobs and gang jobs.
const DEMO_LOAD_KINDS: readonly LoadKind[] = [
  {
    account: "notun-drafts",
    class: "welcome-draft",
    count: 240,
    repeatable: true,
    minimumRunMs: 40,
    maximumRunMs: 200,
  },
  {
    account: "notun-groups",
    class: "group-suggestion",
    count: 120,
    repeatable: true,
    minimumRunMs: 100,
    maximumRunMs: 500,
  },
  {
    account: "notun-venues",
    class: "venue-fit",
    count: 16,
    repeatable: true,
    parts: 8,
    accelerators: 2,
    adjacent: "rack",
    minimumRunMs: 800,
    maximumRunMs: 2_000,
  },
  {
    account: "notun-bookings",
    class: "match-booking",
    count: 80,
    repeatable: false,
    minimumRunMs: 50,
    maximumRunMs: 300,
  },
  {
    account: "vatuwaqa-routes",
    class: "route-plan",
    count: 80,
    repeatable: false,
    accelerators: 2,
    minimumRunMs: 200,
    maximumRunMs: 700,
  },
  {
    account: "vatuwaqa-crates",
    class: "reconciliation",
    count: 80,
    repeatable: true,
    isAsync: true,
    minimumRunMs: 200,
    maximumRunMs: 800,
  },
];

/** A request with the time at which its caller sends it. */
export interface TimedRequest {
  /** Time since the start of the load. */
  atMs: number;
  request: CallerRequest;
}

/**
 * Composes the demo's load.
 *
 * @param layout accounts and their keys
 * @param options duration of the load and source of random numbers
 * @returns requests sorted by the time at which they are sent
 */
export function generateDemoLoad(
  layout: SystemLayout,
  { durationMs, random }: { durationMs: number; random(): number },
): TimedRequest[] {
  const bearers = new Map(layout.accounts.map(({ name, key }) => [name, key]));
  const between = (low: number, high: number) =>
    Math.round(low + random() * (high - low));
  return DEMO_LOAD_KINDS.flatMap((kind) =>
    Array.from({ length: kind.count }, (_, index): TimedRequest => {
      const { account, count, minimumRunMs, maximumRunMs, ...request } = kind;
      const runMs = between(minimumRunMs, maximumRunMs);
      return {
        atMs: Math.round(random() * durationMs),
        request: {
          ...request,
          bearer: bearers.get(account) ?? "",
          expectedMs: runMs,
          deadlineMs: 30_000,
          payload: { runMs, note: `${account} ${index} of ${count}` },
        },
      };
    })
  ).sort((a, b) => a.atMs - b.atMs);
}

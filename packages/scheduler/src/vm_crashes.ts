import type { Milliseconds } from "@rattanhill/shared";
import type { ActiveJob } from "./cell_state.ts";

/** Last unexplained crash of each VM; kept only in memory. */
export interface VmCrashes {
  /** Records the crash of a VM and the jobs that may have caused it. */
  record(vm: string, key: string, jobs: ReadonlySet<ActiveJob>): void;
  /** Removes a crash that a task has been blamed for. */
  explain(key: string): void;
  /** @returns whether the VM crashed a short time before */
  hasCrashed(vm: string | undefined): boolean;
  /**
   * @returns whether the crashes of a VM, and not a task, are the likely cause
   * of another one: it crashed a short time before with none of these jobs
   */
  isUnstable(vm: string | undefined, jobs: ReadonlySet<ActiveJob>): boolean;
  /** Removes crashes that no longer count. */
  prune(): void;
}

// Time for which the crash of a VM counts.
const UNSTABLE_VM_MS: Milliseconds = 30_000;

/**
 * Creates the record, without crashes.
 *
 * @param now returns the monotonic time
 * @returns the record
 */
export function createVmCrashes(now: () => Milliseconds): VmCrashes {
  const crashes = new Map<
    string,
    { key: string; at: Milliseconds; jobs: ReadonlySet<ActiveJob> }
  >();
  const lastCrashOf = (vm: string | undefined) => {
    const crash = vm === undefined ? undefined : crashes.get(vm);
    return crash !== undefined && now() - crash.at < UNSTABLE_VM_MS
      ? crash
      : undefined;
  };

  return {
    record: (vm, key, jobs) => crashes.set(vm, { key, at: now(), jobs }),
    explain: (key) => {
      for (const [vm, crash] of crashes) {
        if (crash.key === key) crashes.delete(vm);
      }
    },
    hasCrashed: (vm) => lastCrashOf(vm) !== undefined,
    isUnstable: (vm, jobs) => {
      const earlier = lastCrashOf(vm);
      return earlier !== undefined &&
        ![...jobs].some((job) => earlier.jobs.has(job));
    },
    prune: () => {
      for (const vm of crashes.keys()) {
        if (lastCrashOf(vm) === undefined) crashes.delete(vm);
      }
    },
  };
}

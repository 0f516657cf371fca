import type { Milliseconds } from "@rattanhill/shared";
import type { ActiveJob } from "./cell_state.ts";

/** Last unexplained crash of each VM; kept only in memory. */
export interface VmCrashes {
  /** Records the crash of a VM and the jobs that may have caused it. */
  record(vm: string, key: string, jobs: ReadonlySet<ActiveJob>): void;
  /** Records the crash of a VM without runs, which no task has caused. */
  recordIdle(vm: string): void;
  /** @returns whether the VM crashed without runs a short time before */
  hasCrashedIdle(vm: string | undefined): boolean;
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
// Time after a crash without runs for which the VM is to blame for all others.
const FAULTY_VM_MS: Milliseconds = 10_000;

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

  /** Time of the last crash of each VM without runs. */
  const idleCrashes = new Map<string, Milliseconds>();
  const hasCrashedIdle = (vm: string | undefined): boolean => {
    const at = vm === undefined ? undefined : idleCrashes.get(vm);
    return at !== undefined && now() - at < FAULTY_VM_MS;
  };

  return {
    recordIdle: (vm) => idleCrashes.set(vm, now()),
    hasCrashedIdle,
    record: (vm, key, jobs) => crashes.set(vm, { key, at: now(), jobs }),
    explain: (key) => {
      for (const [vm, crash] of crashes) {
        if (crash.key === key) crashes.delete(vm);
      }
    },
    hasCrashed: (vm) => lastCrashOf(vm) !== undefined || hasCrashedIdle(vm),
    isUnstable: (vm, jobs) => {
      const earlier = lastCrashOf(vm);
      return earlier !== undefined &&
        ![...jobs].some((job) => earlier.jobs.has(job));
    },
    prune: () => {
      for (const vm of crashes.keys()) {
        if (lastCrashOf(vm) === undefined) crashes.delete(vm);
      }
      for (const vm of idleCrashes.keys()) {
        if (!hasCrashedIdle(vm)) idleCrashes.delete(vm);
      }
    },
  };
}

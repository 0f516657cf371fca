import { readFileSync } from "node:fs";

/** Unit of the process times in `/proc` (USER_HZ). */
const CLOCK_TICKS_PER_SECOND = 100;
const KIBIBYTE = 1_024;

/** Processor time and resident memory of a process. */
export interface ProcessUsage {
  cpuMs: number;
  residentBytes: number;
}

/**
 * Reads the resource usage of a process from `/proc`.
 *
 * @param pid process identifier
 * @returns processor time since the process started, and resident memory
 */
export function readUsage(pid: number): ProcessUsage {
  const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
  const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
  const ticks = Number(fields[11]) + Number(fields[12]);
  const status = readFileSync(`/proc/${pid}/status`, "utf8");
  const resident = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0);
  return {
    cpuMs: ticks * 1_000 / CLOCK_TICKS_PER_SECOND,
    residentBytes: resident * KIBIBYTE,
  };
}

import { readFileSync } from "node:fs";

const CLOCK_TICKS_PER_SECOND = 100; // of the kernel's process times
const KIBIBYTE = 1_024;

/** Processor time and memory of a process. */
export interface ProcessUsage {
  cpuMs: number;
  residentBytes: number;
}

/**
 * Reads what a process has used, from the kernel's files.
 *
 * @param pid process identifier
 * @returns its processor time since the start and its resident memory
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

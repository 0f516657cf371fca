import { readFileSync } from "node:fs";

// Clock ticks (USER_HZ), in which `/proc` gives the times of a process.
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
  const statText = readFileSync(`/proc/${pid}/stat`, "utf8");
  // The command name, which may contain spaces, ends at the last parenthesis.
  // Fields 11 and 12 after it are the times in user and kernel mode.
  const fields = statText.slice(statText.lastIndexOf(")") + 2).split(" ");
  const ticks = Number(fields[11]) + Number(fields[12]);
  const statusText = readFileSync(`/proc/${pid}/status`, "utf8");
  const residentKibibytes = Number(/VmRSS:\s+(\d+)/.exec(statusText)?.[1] ?? 0);
  return {
    cpuMs: ticks * 1_000 / CLOCK_TICKS_PER_SECOND,
    residentBytes: residentKibibytes * KIBIBYTE,
  };
}

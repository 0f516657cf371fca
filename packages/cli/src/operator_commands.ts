import { describeError } from "@rattanhill/shared";
import type { ZoneSummary } from "@rattanhill/core";
import { request } from "undici";
import { ExitCode } from "./exit_codes.ts";
import type { Output } from "./output.ts";

/** Arguments of the commands that call an entry's operators' interface. */
export interface OperatorArguments {
  /** Base URL of the operators' interface. */
  operators: string;
}

interface WorkerStatus {
  name: string;
  rack: string;
  accelerators: number;
  free: number;
  /** Whether new work may be placed on the worker. */
  isUsable: boolean;
  leases: { account: string; accelerators: number }[];
}

interface ZoneStatus {
  zone: string;
  lead?: string;
  summary: ZoneSummary;
  accounts?: AccountStatus[];
  workers: WorkerStatus[];
}

/** Use of an account's guarantee, in accelerators. */
interface AccountStatus {
  account: string;
  guaranteed: number;
  used: number;
  /** Unused part of the guarantee that other accounts use now. */
  lent: number;
  /** Accelerators used beyond the guarantee. */
  borrowed: number;
}

/**
 * Shows the accounts, racks and fragmentation of an entry's zone.
 *
 * @param options address of the entry
 * @param output receives the status
 * @returns the exit code of the command
 */
export async function showStatus(
  options: OperatorArguments,
  output: Output,
): Promise<ExitCode> {
  return await callEntry(
    "GET",
    "/status",
    options,
    output,
    (body) => formatStatus(body as ZoneStatus),
  );
}

/**
 * Shows the internal state of an entry's process, as indented JSON.
 *
 * @param options address of the entry
 * @param output receives the state
 * @returns the exit code of the command
 */
export async function showState(
  options: OperatorArguments,
  output: Output,
): Promise<ExitCode> {
  return await callEntry(
    "GET",
    "/debug/state",
    options,
    output,
    (body) => JSON.stringify(body, undefined, 2),
  );
}

/**
 * Explains why a request is waiting.
 *
 * @param id identifier of the request
 * @param options address of the entry
 * @param output receives the explanation
 * @returns the exit code of the command
 */
export async function explain(
  id: string,
  options: OperatorArguments,
  output: Output,
): Promise<ExitCode> {
  return await callEntry(
    "GET",
    `/explain/${id}`,
    options,
    output,
    (body) => String((body as { explanation: string }).explanation),
  );
}

/**
 * Starts a graceful shutdown of an entry.
 *
 * @param options address of the entry
 * @param output receives the confirmation
 * @returns the exit code of the command
 */
export async function drain(
  options: OperatorArguments,
  output: Output,
): Promise<ExitCode> {
  return await callEntry(
    "POST",
    "/drain",
    options,
    output,
    () => "the entry is draining",
  );
}

async function callEntry(
  method: "GET" | "POST",
  path: string,
  { operators }: OperatorArguments,
  output: Output,
  formatBody: (body: unknown) => string,
): Promise<ExitCode> {
  try {
    const response = await request(`${operators}${path}`, { method });
    const body = await response.body.json() as object;
    if (response.statusCode >= 300) {
      output.writeError(
        `${method} ${path} failed with status ${response.statusCode}: ` +
          JSON.stringify(body),
      );
      return ExitCode.failed;
    }
    output.writeResult(body, formatBody(body));
    return ExitCode.done;
  } catch (error) {
    output.writeError(`${method} ${path} failed: ${describeError(error)}`);
    return ExitCode.failed;
  }
}

/**
 * Formats a zone's status with one line per account and per rack. A worker
 * shows one character per accelerator: `#` in use, `.` free, `x` unusable.
 */
function formatStatus({ zone, lead, summary, accounts, workers }: ZoneStatus) {
  const racks = new Map<string, WorkerStatus[]>();
  for (const worker of workers) {
    racks.set(worker.rack, [...racks.get(worker.rack) ?? [], worker]);
  }
  const rackLines = [...racks].map(([rack, members]) =>
    `  ${rack}  ${members.map(formatWorker).join(" ")}`
  );
  const ratio = summary.ratio.toFixed(2);
  const accountLines = (accounts ?? []).map((row) =>
    `  ${row.account}  guaranteed ${row.guaranteed}  used ${row.used}  ` +
    `lent ${row.lent}  borrowed ${row.borrowed}`
  );
  return [
    `zone ${zone}, lead ${lead ?? "none"}, waiting ${summary.waiting}`,
    `free ${summary.free} of ${summary.accelerators} accelerators, ` +
    `fragmentation ${ratio}`,
    ...accountLines,
    ...rackLines,
  ].join("\n");
}

function formatWorker({ accelerators, free, isUsable }: WorkerStatus): string {
  if (!isUsable) return "x".repeat(accelerators);
  return "#".repeat(accelerators - free) + ".".repeat(free);
}

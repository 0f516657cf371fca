import { describeError } from "@rattanhill/shared";
import type { ZoneSummary } from "@rattanhill/core";
import { request } from "undici";
import { ExitCode } from "./exit_codes.ts";
import type { Output } from "./output.ts";

/** Arguments of the commands that ask an entry's operators' interface. */
export interface OperatorArguments {
  /** Base address of the operators' interface. */
  operators: string;
}

interface WorkerStatus {
  name: string;
  rack: string;
  accelerators: number;
  free: number;
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

interface AccountStatus {
  account: string;
  guaranteed: number;
  used: number;
  lent: number;
  borrowed: number;
}

/**
 * Shows accounts, racks and fragmentation of the entry's zone.
 *
 * @param options entry
 * @param output where they go
 * @returns the exit code
 */
export async function showStatus(
  options: OperatorArguments,
  output: Output,
): Promise<ExitCode> {
  return await ask(
    "GET",
    "/status",
    options,
    output,
    (body) => drawStatus(body as ZoneStatus),
  );
}

/**
 * Shows the state of an entry's process.
 *
 * @param options entry
 * @param output where it goes
 * @returns the exit code
 */
export async function showState(
  options: OperatorArguments,
  output: Output,
): Promise<ExitCode> {
  return await ask(
    "GET",
    "/debug/state",
    options,
    output,
    (body) => JSON.stringify(body, undefined, 2),
  );
}

/**
 * Tells why a request waits.
 *
 * @param id identifier of the request
 * @param options entry
 * @param output where it goes
 * @returns the exit code
 */
export async function explain(
  id: string,
  options: OperatorArguments,
  output: Output,
): Promise<ExitCode> {
  return await ask(
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
 * @param options entry
 * @param output where the answer goes
 * @returns the exit code
 */
export async function drain(
  options: OperatorArguments,
  output: Output,
): Promise<ExitCode> {
  return await ask(
    "POST",
    "/drain",
    options,
    output,
    () => "the entry is leaving",
  );
}

async function ask(
  method: "GET" | "POST",
  path: string,
  { operators }: OperatorArguments,
  output: Output,
  draw: (body: unknown) => string,
): Promise<ExitCode> {
  try {
    const response = await request(`${operators}${path}`, { method });
    const body = await response.body.json() as object;
    if (response.statusCode >= 300) {
      output.fault(JSON.stringify(body));
      return ExitCode.failed;
    }
    output.result(body, draw(body));
    return ExitCode.done;
  } catch (error) {
    output.fault(describeError(error));
    return ExitCode.failed;
  }
}

/** Draws each worker as a row of blocks: `#` in use, `.` free, `x` not usable. */
function drawStatus({ zone, lead, summary, accounts, workers }: ZoneStatus) {
  const racks = new Map<string, WorkerStatus[]>();
  for (const worker of workers) {
    racks.set(worker.rack, [...racks.get(worker.rack) ?? [], worker]);
  }
  const rows = [...racks].map(([rack, members]) =>
    `  ${rack}  ${members.map(drawWorker).join(" ")}`
  );
  const ratio = summary.ratio.toFixed(2);
  const accountRows = (accounts ?? []).map((row) =>
    `  ${row.account}  guaranteed ${row.guaranteed}  used ${row.used}  ` +
    `lent ${row.lent}  borrowed ${row.borrowed}`
  );
  return [
    `zone ${zone}, lead ${lead ?? "none"}, waiting ${summary.waiting}`,
    `free ${summary.free} of ${summary.accelerators} accelerators, ` +
    `fragmentation ${ratio}`,
    ...accountRows,
    ...rows,
  ].join("\n");
}

function drawWorker({ accelerators, free, isUsable }: WorkerStatus): string {
  if (!isUsable) return "x".repeat(accelerators);
  return "#".repeat(accelerators - free) + ".".repeat(free);
}

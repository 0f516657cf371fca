import type {
  CallerRecord,
  RunningSystem,
  SystemLayout,
  SystemOptions,
} from "@rattanhill/standins";
import type { Network } from "./network.ts";
import type { Scenario, Submit } from "./scenario_file.ts";

/** Requests that one step submitted. */
export interface Batch {
  submit: Submit;
  /** Idempotency keys of the requests sent so far. */
  keys: Set<string>;
  /** Resolves when every caller has a final response or reached its limit. */
  records: Promise<CallerRecord[]>;
}

/** State of a scenario while it runs. */
export interface Run {
  scenario: Scenario;
  layout: SystemLayout;
  system: RunningSystem;
  systemOptions: SystemOptions;
  network: Network;
  random(): number;
  batches: Map<string, Batch>;
  /** Processes stopped by SIGSTOP. */
  frozen: { signal(name: NodeJS.Signals): void }[];
  /** Workers on which no task may start, and since when. */
  workersWithoutStarts: { worker: string; from: number }[];
  /** Highest config version seen of each entry, by process identifier. */
  versions: Map<number, number>;
  /** Descriptions of everything that was not as expected. */
  failures: string[];
  /** Figures that the steps measured. */
  figures: Record<string, number>;
}

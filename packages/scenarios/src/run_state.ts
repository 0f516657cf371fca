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
  keys: Set<string>;
  records: Promise<CallerRecord[]>;
}

/** A scenario while it runs. */
export interface Run {
  scenario: Scenario;
  layout: SystemLayout;
  system: RunningSystem;
  systemOptions: SystemOptions;
  network: Network;
  random(): number;
  batches: Map<string, Batch>;
  frozen: { signal(name: NodeJS.Signals): void }[];
  leftWorkers: { worker: string; from: number }[];
  versions: Map<number, number>;
  faults: string[];
  figures: Record<string, number>;
}

import {
  assignGuarantees,
  type Rules,
  type WorkerView,
} from "@rattanhill/core";
import { request } from "undici";

/** An account whose guarantee does not fit beside the others of its zone. */
export interface UnmetGuarantee {
  zone: string;
  account: string;
}

interface ZoneWorkers {
  zone: string;
  workers: Pick<WorkerView, "name" | "rack" | "accelerators">[];
}

/**
 * Checks whether all guarantees of a rules file can be met at once.
 *
 * @param rules the rules
 * @param operators operators' interfaces of one entry in each zone
 * @returns guarantees that do not fit the workers of those zones
 * @throws Error when an entry does not answer
 */
export async function findUnmetGuarantees(
  rules: Rules,
  operators: readonly string[],
): Promise<UnmetGuarantee[]> {
  const zones = await Promise.all(operators.map(readWorkers));
  return zones.flatMap(({ zone, workers }) =>
    assignGuarantees(rules, zone, groupByRack(workers)).unmet.map((
      account,
    ) => ({
      zone,
      account,
    }))
  );
}

async function readWorkers(operators: string): Promise<ZoneWorkers> {
  const response = await request(`${operators}/status`);
  return await response.body.json() as ZoneWorkers;
}

function groupByRack(workers: ZoneWorkers["workers"]): WorkerView[][] {
  const racks = new Map<string, WorkerView[]>();
  for (const { name, rack, accelerators } of workers) {
    const view: WorkerView = {
      name,
      rack,
      accelerators,
      address: "",
      boot: "",
      free: accelerators,
      isUsable: true,
      leases: new Map(),
      firm: new Map(),
    };
    racks.set(rack, [...racks.get(rack) ?? [], view]);
  }
  return [...racks.values()];
}

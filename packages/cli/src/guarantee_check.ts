import {
  assignGuarantees,
  type Rules,
  type WorkerView,
} from "@rattanhill/core";
import { request } from "undici";

/** A guarantee that a zone cannot meet together with its other guarantees. */
export interface UnmetGuarantee {
  zone: string;
  account: string;
}

interface ZoneWorkers {
  zone: string;
  workers: Pick<WorkerView, "name" | "rack" | "accelerators">[];
}

/**
 * Checks whether the workers of each zone can meet all guarantees at once.
 *
 * @param rules the rules to check
 * @param operatorUrls base URLs of the operators' interfaces of one entry per
 * zone; zones without a URL are not checked
 * @returns the guarantees that cannot be met
 * @throws Error when an entry does not respond
 */
export async function findUnmetGuarantees(
  rules: Rules,
  operatorUrls: readonly string[],
): Promise<UnmetGuarantee[]> {
  const zones = await Promise.all(operatorUrls.map(fetchWorkers));
  return zones.flatMap(({ zone, workers }) =>
    assignGuarantees(rules, zone, groupByRack(workers)).unmet.map((
      account,
    ) => ({
      zone,
      account,
    }))
  );
}

async function fetchWorkers(operatorUrl: string): Promise<ZoneWorkers> {
  const response = await request(`${operatorUrl}/status`);
  return await response.body.json() as ZoneWorkers;
}

/**
 * Groups workers by rack. All accelerators count as free, since a guarantee is
 * met by preempting the work of other accounts.
 */
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

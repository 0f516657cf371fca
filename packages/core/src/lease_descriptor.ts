import type { LeaseDescriptor } from "./lease.ts";
import type { RequestSpec } from "./shape.ts";

/**
 * Creates the descriptor of a lease, from which any entry can rebuild the state
 * of the request after querying the worker.
 *
 * @param spec the request
 * @param identity identifier, attempt, part index and owner of the lease
 * @returns the descriptor for the worker to store
 */
export function describeLease(
  spec: RequestSpec,
  identity: Pick<LeaseDescriptor, "lease" | "attempt" | "part" | "owner">,
): LeaseDescriptor {
  return {
    ...identity,
    request: spec.id,
    key: spec.key,
    account: spec.account,
    class: spec.class,
    parts: spec.shape.parts,
    accelerators: spec.shape.accelerators,
    priority: spec.priority,
    repeatable: spec.repeatable,
    preemptible: spec.preemptible,
    expectedMs: spec.expectedMs,
  };
}

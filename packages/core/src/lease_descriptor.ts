import type { LeaseDescriptor } from "./lease.ts";
import type { RequestSpec } from "./shape.ts";

/**
 * Describes a lease of a request, so that any entry can rebuild its state from the worker.
 *
 * @param spec the request
 * @param given name, attempt, part and owner of the lease
 * @returns the descriptor
 */
export function describeLease(
  spec: RequestSpec,
  given: Pick<LeaseDescriptor, "lease" | "attempt" | "part" | "owner">,
): LeaseDescriptor {
  return {
    ...given,
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

/** Amounts of resources of a worker or a task. */
export interface Resources {
  milliCores: number;
  memoryMegabytes: number;
  accelerators: number;
}

/**
 * Adds `factor` times an amount of resources to the target in place; a negative
 * factor subtracts.
 */
export function addResources(
  target: Resources,
  amount: Resources,
  factor = 1,
): void {
  target.milliCores += factor * amount.milliCores;
  target.memoryMegabytes += factor * amount.memoryMegabytes;
  target.accelerators += factor * amount.accelerators;
}

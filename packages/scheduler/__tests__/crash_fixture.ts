import { createCell } from "./cell_fixture.ts";
import { createFakeWorker } from "./fake_worker.ts";

/** A cell as {@link createCell} returns it. */
export type Cell = ReturnType<typeof createCell>;

/** @returns a cell with one worker on each of its VMs `m0`, `m1` and so on */
export function createCellOnVms(workers: number): Cell {
  const cell = createCell({ workers });
  cell.entries.forEach((entry, index) => {
    cell.entries[index] = { ...entry, vm: `m${index}` };
  });
  cell.updateListing();
  return cell;
}

/** Makes a worker refuse connections. */
export function silenceWorker(cell: Cell, id: string): void {
  cell.fleet.delete(id);
  cell.scheduler.recordNoAnswer(cell.scheduler.state.workers.get(id)!);
}

/** Lets a worker with another id answer on the VM of a silent one. */
export function addSuccessor(cell: Cell, id: string, nextId: string): void {
  const index = cell.entries.findIndex((entry) => entry.id === id);
  cell.fleet.set(nextId, createFakeWorker(nextId));
  cell.entries[index] = { ...cell.entries[index], id: nextId };
  cell.updateListing();
}

/** Replaces a worker that fell silent by one with another id on its VM. */
export function replaceWorker(cell: Cell, id: string, nextId: string): void {
  silenceWorker(cell, id);
  addSuccessor(cell, id, nextId);
}

/** Restarts workers under their ids, and lets the cell hear of it. */
export function restartWorkers(cell: Cell, ids: readonly string[]): void {
  for (const id of ids) cell.fleet.get(id)!.crash();
  cell.clock.advance(1);
  for (const id of ids) cell.pollWorker(id);
  cell.scheduler.plan();
}

/** Settles a cell until all crashes so far are judged; its runs progress. */
export function settleJudgement(cell: Cell): void {
  for (const { running } of cell.fleet.values()) {
    for (const run of running.values()) run.percent += 1;
  }
  cell.clock.advance(4_000);
  cell.settle();
}

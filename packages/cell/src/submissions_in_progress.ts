import { isSameSubmission, type JobSpec } from "@rattanhill/scheduler";

/**
 * Submissions of this entry that are being written. Two that differ are not
 * written at the same time, since either could be the first in the journal.
 */
export interface SubmissionsInProgress {
  /** @returns false while another job with the same ID is being written */
  begin(spec: JobSpec): boolean;
  /** Ends one of the writes that began with this job ID. */
  end(id: string): void;
}

/** @returns the submissions in progress; none so far */
export function createSubmissionsInProgress(): SubmissionsInProgress {
  const writes = new Map<string, { spec: JobSpec; count: number }>();
  return {
    begin: (spec) => {
      const other = writes.get(spec.id);
      if (other !== undefined && !isSameSubmission(other.spec, spec)) {
        return false;
      }
      writes.set(spec.id, { spec, count: (other?.count ?? 0) + 1 });
      return true;
    },
    end: (id) => {
      const { spec, count } = writes.get(id)!;
      if (count === 1) writes.delete(id);
      else writes.set(id, { spec, count: count - 1 });
    },
  };
}

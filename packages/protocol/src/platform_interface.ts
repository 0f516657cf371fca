import { z } from "zod";

/** Schema of the answer to an append. */
export const appendAnswerSchema = z.object({
  /** Offset of the first appended record. */
  first: z.number().int().nonnegative(),
});

/** Schema of the answer to a read. */
export const readAnswerSchema = z.object({
  /** Offset of the oldest record that is kept. */
  oldest: z.number().int().nonnegative(),
  /** Offset that the next appended record will get. */
  end: z.number().int().nonnegative(),
  /** For how long records are kept, in milliseconds. */
  retentionMs: z.number().positive(),
  /** Current time of the log, in milliseconds. */
  now: z.number(),
  records: z.array(z.object({
    offset: z.number().int().nonnegative(),
    time: z.number(),
    data: z.string(),
  })),
});

/** Answer to a read. */
export type ReadAnswer = z.infer<typeof readAnswerSchema>;

/** Schema of the list of VMs. */
export const vmListSchema = z.object({
  vms: z.array(z.object({
    kind: z.enum(["entry", "worker"]),
    name: z.string(),
    address: z.string(),
    zone: z.string(),
    rack: z.string().optional(),
    state: z.enum(["live", "leaving"]),
  })),
});

/** Lagging list of live and leaving VMs. */
export type VmList = z.infer<typeof vmListSchema>;
/** One VM of the list. */
export type VmInfo = VmList["vms"][number];
